import type { Clock } from '@limpetbay/core';
import type { DirectCall, DirectListener } from '@limpetbay/targets';

interface SimArrival {
  readonly atMs: number;
  /** When the entry sent the request, milliseconds. */
  readonly sentMs: number;
  readonly entry: string;
  readonly target: string;
  readonly requestId: string;
  readonly body: string;
  readonly parts: readonly string[];
  /** Whether an event of the answer was sent. */
  hasBegun: boolean;
}

interface SimTargetOptions {
  readonly clock: Clock;
  readonly id: string;
  readonly address: string;
  /** Prompt parts on which the target ends when it begins an answer. */
  readonly crashingParts: ReadonlySet<string>;
  /** Events of its answer that a target has sent when it ends on a part or body. */
  readonly getEventsBeforeEnd: () => number;
  /** Bodies on which the target ends when it begins the request. */
  readonly crashingBodies: ReadonlySet<string>;
  readonly onArrival: (arrival: SimArrival) => void;
  readonly onEnd: (target: SimTarget, cause: string | null) => void;
}

interface RunningCall {
  readonly listener: DirectListener;
}

/** One way between an entry and a target. */
const TRANSPORT = {
  framing: 'chunks',
  length: null,
  isFirst: true,
  setPaused: () => {},
} as const;

const DELAY_MS = 1;

/** From the arrival to the head of the answer, and from there to the first event. */
const HEAD_DELAY_MS = 40;
const FIRST_EVENT_DELAY_MS = 50;

const EVENTS = 8;

const EVENT_GAP_MS = 50;

/** Paths whose answers are streams; others are one body. */
const STREAM_PREFIX = '/a/';

/** A target that streams answers, and ends when it begins one on a crashing part or body. */
export class SimTarget {
  readonly id: string;

  readonly address: string;

  /** Limit that the target names in its answers, requests a second; null without one. */
  limit: number | null = null;

  readonly #options: SimTargetOptions;

  readonly #calls = new Set<RunningCall>();

  /** Calls whose entry still listens. */
  readonly #open = new Set<RunningCall>();

  #hasEnded = false;

  constructor(options: SimTargetOptions) {
    this.id = options.id;
    this.address = options.address;
    this.#options = options;
  }

  hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Receives a call of an entry. @returns a function that cancels it */
  send(entry: string, call: DirectCall, listener: DirectListener): () => void {
    const running: RunningCall = { listener };
    this.#open.add(running);
    const sentMs = this.#options.clock.getNow();
    setTimeout(() => this.#accept(entry, sentMs, call, running), DELAY_MS);
    return () => {
      this.#open.delete(running);
      this.#calls.delete(running);
    };
  }

  /** Ends the target, which resets its connections. @param cause part or body that caused it */
  end(cause: string | null = null): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    this.#options.onEnd(this, cause);
    for (const running of [...this.#calls]) {
      this.#deliver(running, () => {
        this.#open.delete(running);
        running.listener.onFailure('aborted', false);
      });
    }
    this.#calls.clear();
  }

  #accept(entry: string, sentMs: number, call: DirectCall, running: RunningCall): void {
    if (!this.#open.has(running)) return;
    if (this.#hasEnded) {
      this.#deliver(running, () => running.listener.onFailure('connect ECONNREFUSED', true));
      return;
    }
    this.#calls.add(running);
    const { clock, onArrival, crashingParts, crashingBodies } = this.#options;
    const [, requestId = '', , partText = '', , lastEventId = '0'] = call.headers;
    const parts = partText.split(',');
    const body = call.body?.toString() ?? '';
    const isStream = call.url.startsWith(STREAM_PREFIX);
    const arrival: SimArrival = {
      atMs: clock.getNow(),
      sentMs,
      entry,
      target: this.id,
      requestId,
      body,
      parts,
      hasBegun: false,
    };
    onArrival(arrival);
    setTimeout(() => {
      if (!this.#calls.has(running)) return;
      if (!isStream && crashingBodies.has(body)) {
        // A service sends the head with the body, so its caller sees nothing of the answer.
        this.end(body);
        return;
      }
      const limit = this.limit === null ? {} : { limit: String(this.limit) };
      this.#deliver(running, () =>
        running.listener.onHead(200, { id: requestId, ...limit }, TRANSPORT),
      );
      setTimeout(() => {
        if (!this.#calls.has(running)) return;
        const crashingPart = parts.find((part) => crashingParts.has(part));
        const cause = crashingPart ?? (crashingBodies.has(body) ? body : null);
        const eventsBeforeEnd = isStream ? this.#options.getEventsBeforeEnd() : 0;
        if (cause !== null && eventsBeforeEnd === 0) this.end(cause);
        else if (!isStream) this.#finish(running);
        else {
          arrival.hasBegun = true;
          const first = Number(lastEventId) + 1;
          this.#sendEvent(running, first, { cause, endsAt: first + eventsBeforeEnd });
        }
      }, FIRST_EVENT_DELAY_MS);
    }, HEAD_DELAY_MS);
  }

  /** @param fate number of the event before which the target ends, if there is a cause */
  #sendEvent(
    running: RunningCall,
    number: number,
    fate: { readonly cause: string | null; readonly endsAt: number },
  ): void {
    if (!this.#calls.has(running)) return;
    if (fate.cause !== null && number === fate.endsAt) {
      this.end(fate.cause);
      return;
    }
    if (number > EVENTS) {
      this.#finish(running);
      return;
    }
    this.#deliver(running, () =>
      running.listener.onData(Buffer.from(`id: ${number}\ndata: x\n\n`)),
    );
    if (number === EVENTS) this.#finish(running);
    else setTimeout(() => this.#sendEvent(running, number + 1, fate), EVENT_GAP_MS);
  }

  #finish(running: RunningCall): void {
    this.#calls.delete(running);
    this.#deliver(running, () => {
      this.#open.delete(running);
      running.listener.onEnd();
    });
  }

  #deliver(running: RunningCall, action: () => void): void {
    setTimeout(() => {
      if (this.#open.has(running)) action();
    }, DELAY_MS);
  }
}
