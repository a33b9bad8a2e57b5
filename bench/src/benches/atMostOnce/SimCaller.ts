import { answerTable } from '@limpetbay/core';
import type { CallerReply } from './CallerReply.js';
import type { CallerRequest } from './CallerRequest.js';
import type { SimEntry } from './SimEntry.js';
import type { Simulation } from './Simulation.js';
import { scheduleSettings } from './scheduleSettings.js';

const MAX_REPEATS = 3;

/** A caller with one operation, which it may send several times if it has an idempotency key. */
export class SimCaller {
  readonly #simulation: Simulation;

  readonly #name: string;

  readonly #key: string;

  readonly #repeatable: boolean;

  #sentCount = 0;

  /** Requests reported to the caller as not run: no target may run them, then or later. */
  readonly #notRunRequestIds: string[] = [];

  readonly #minDeadlineMs: number;

  /** @param sharedKey number of a key that several callers use with short deadlines, or null */
  constructor(simulation: Simulation, name: string, sharedKey: number | null) {
    this.#simulation = simulation;
    this.#name = name;
    const draw = simulation.random.next();
    this.#repeatable = draw < 0.2;
    this.#minDeadlineMs = sharedKey === null ? 400 : 150;
    this.#key = draw < 0.5 ? '' : `key-${sharedKey ?? name}`;
  }

  start(): void {
    const { random, queue } = this.#simulation;
    this.#submit('gang 7');
    if (this.#key === '') return;
    if (random.next() < 0.2) this.#submit('gang 7');
    if (random.next() < 0.15) this.#submit('gang 8');
    // Repeats an operation that has usually finished: the answer must then be replayed.
    if (random.next() < 0.3) queue.schedule(random.next() * 3000, () => this.#submit('gang 7'));
  }

  /** Counts the requests that ran although they were reported as not run. */
  countWronglyNotRun(): number {
    return this.#notRunRequestIds.filter((requestId) => this.#simulation.runs.has(requestId))
      .length;
  }

  #submit(body: string): void {
    const { random, queue, entries, tally } = this.#simulation;
    const entry = entries[Math.floor(random.next() * entries.length)] as SimEntry;
    const { process } = entry;
    if (!process.isUp() || queue.clock.getNow() > scheduleSettings.activeMs) return;
    this.#sentCount += 1;
    tally.requests += 1;
    const request: CallerRequest = {
      requestId: `${this.#name}-${this.#sentCount}`,
      key: this.#key,
      body,
      repeatable: this.#repeatable,
      deadlineMs: this.#minDeadlineMs * (1 + random.next() * 5),
    };
    process.run(process.getIncarnation(), () =>
      entry.submit(request, (reply) => this.#handleReply(request, reply)),
    );
  }

  #handleReply(request: CallerRequest, reply: CallerReply): void {
    const { tally, random, queue } = this.#simulation;
    if (reply.type === 'complete') {
      const identity = request.key === '' ? request.requestId : `${request.key}:${request.body}`;
      const isOwn = reply.body.startsWith(`<${identity}|`) && reply.body.endsWith('>');
      tally.completed += 1;
      if (reply.replayed) tally.replayed += 1;
      if (!isOwn) tally.wrongAnswers += 1;
      return;
    }
    if (reply.type === 'error' && answerTable[reply.kind].run === 'no') {
      tally.reportedNotRun += 1;
      this.#notRunRequestIds.push(request.requestId);
    } else if (reply.type === 'error') tally.reportedUnknown += 1;
    if (request.key === '' || this.#sentCount > MAX_REPEATS) return;
    queue.schedule(50 + random.next() * 600, () => this.#submit(request.body));
  }
}
