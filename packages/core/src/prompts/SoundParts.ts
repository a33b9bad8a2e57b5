import type { Clock } from '../clock/Clock.js';

/** How long a begun answer shows that its prompt parts end no target, milliseconds. */
const RETENTION_MS = 60_000;

/** Callers choose the parts, so the memory of them is bounded. */
const MAX_PARTS = 4096;

/** Prompt parts on which targets began answers recently. */
export class SoundParts {
  readonly #clock: Clock;

  /** When an answer last began, by part, monotonic milliseconds; the oldest first. */
  readonly #begunAtMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  add(part: string): void {
    this.#begunAtMs.delete(part);
    this.#begunAtMs.set(part, this.#clock.getNow());
    if (this.#begunAtMs.size <= MAX_PARTS) return;
    const [oldest = ''] = this.#begunAtMs.keys();
    this.#begunAtMs.delete(oldest);
  }

  has(part: string): boolean {
    const begunAtMs = this.#begunAtMs.get(part);
    return begunAtMs !== undefined && this.#clock.getNow() - begunAtMs <= RETENTION_MS;
  }

  count(): number {
    return this.#begunAtMs.size;
  }
}
