import { setTimeout as sleep } from 'node:timers/promises';
import { z } from 'zod';

const EntryList = z.object({
  entries: z.array(z.object({ url: z.string() })),
  ttl_ms: z.number(),
});
const ErrorAnswer = z.object({ error: z.object({ kind: z.string(), run: z.string() }) });

interface FleetCallerOptions {
  /** Address of any entry, for the first list. */
  readonly seedUrl: string;
  readonly name: string;
  /** Whether it books with keys or asks the model for streams. */
  readonly kind: 'booking' | 'chat';
  readonly maxTokens: number;
}

/**
 * A caller that behaves as callers are told to: it asks which entries to use, keeps the answer for
 * its time and connects there itself. It sends one request after the other and counts the ends.
 */
export class FleetCaller {
  readonly #options: FleetCallerOptions;

  #urls: string[];

  #listedUntilMs = 0;

  #sent = 0;

  #isStopped = false;

  completed = 0;

  /** Refused and declared as not run. */
  notRun = 0;

  /** Everything else, by what was seen. */
  readonly failures = new Map<string, number>();

  constructor(options: FleetCallerOptions) {
    this.#options = options;
    this.#urls = [options.seedUrl];
  }

  stop(): void {
    this.#isStopped = true;
  }

  async run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#refreshList();
      const url = this.#urls[this.#sent % this.#urls.length]!;
      this.#sent += 1;
      const end = await this.#send(url);
      if (end === 'not_sent') continue;
      if (end === 'completed') this.completed += 1;
      else if (end === 'not_run') this.notRun += 1;
      else this.failures.set(end, (this.failures.get(end) ?? 0) + 1);
      if (end === 'not_run') await sleep(50);
    }
  }

  async #refreshList(): Promise<void> {
    if (performance.now() < this.#listedUntilMs) return;
    const askedMs = performance.now();
    for (const url of this.#urls) {
      try {
        const answer = await fetch(`${url}/v1/entries`);
        const list = EntryList.parse(await answer.json());
        this.#urls = list.entries.map((entry) => entry.url);
        this.#listedUntilMs = askedMs + list.ttl_ms;
        return;
      } catch {
        // The next entry of the old list is asked.
      }
    }
  }

  async #send(url: string): Promise<string> {
    const { kind, name } = this.#options;
    const id = `${name}-${this.#sent}`;
    const headers: Record<string, string> = {
      'content-type': 'application/json',
      'limpetbay-workspace': name,
    };
    if (kind === 'booking') headers['idempotency-key'] = id;
    const path = kind === 'chat' ? '/v1/chat/completions' : '/services/bookings/bookings';
    const body = kind === 'chat' ? this.#buildChat(id) : { id };
    try {
      const answer = await fetch(`${url}${path}`, {
        method: 'POST',
        headers,
        body: JSON.stringify(body),
      });
      const text = await answer.text();
      if (answer.status < 300) {
        const isWhole = kind === 'booking' || text.endsWith('data: [DONE]\n\n');
        return isWhole ? 'completed' : 'stream without end mark';
      }
      const { error } = ErrorAnswer.parse(JSON.parse(text));
      return error.run === 'no' ? 'not_run' : `${error.kind} (${error.run})`;
    } catch (error) {
      const { cause } = error as { cause?: { code?: string } };
      // Nothing was sent; a caller goes on with the next address of its list.
      if (cause?.code === 'ECONNREFUSED') return 'not_sent';
      return `connection: ${cause?.code ?? String(error)}`;
    }
  }

  #buildChat(content: string): object {
    const messages = [{ role: 'user', content }];
    return { model: 'canerota', stream: true, max_tokens: this.#options.maxTokens, messages };
  }
}
