import type { Clock } from '../clock/Clock.js';

/** How long a begun answer shows that what its request carried ends no target, milliseconds. */
const RETENTION_MS = 60_000;

/** Callers choose the prompt parts and the requests, so the memory of them is bounded. */
const MAX_IDS = 4096;

/** Prompt parts, or fingerprints of requests, on which targets began answers recently. */
export class SoundSuspects {
  readonly #clock: Clock;

  /** When an answer last began, by suspect, monotonic milliseconds; the oldest first. */
  readonly #begunAtMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  add(id: string): void {
    this.#begunAtMs.delete(id);
    this.#begunAtMs.set(id, this.#clock.getNow());
    if (this.#begunAtMs.size <= MAX_IDS) return;
    const [oldest = ''] = this.#begunAtMs.keys();
    this.#begunAtMs.delete(oldest);
  }

  has(id: string): boolean {
    const begunAtMs = this.#begunAtMs.get(id);
    return begunAtMs !== undefined && this.#clock.getNow() - begunAtMs <= RETENTION_MS;
  }

  remove(id: string): void {
    this.#begunAtMs.delete(id);
  }

  count(): number {
    return this.#begunAtMs.size;
  }
}
