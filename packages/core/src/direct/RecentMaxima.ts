import type { Clock } from '../clock/Clock.js';

interface Window {
  readonly sinceMs: number;
  readonly largest: number;
}

interface KeyWindows {
  readonly current: Window;
  readonly previous: Window | null;
}

/** A figure counts until the second window after its own begins, milliseconds. */
const WINDOW_MS = 30_000;

/** The largest recent figure of each key, such as the longest stream of a route. */
export class RecentMaxima {
  readonly #clock: Clock;

  readonly #keys = new Map<string, KeyWindows>();

  #expiredMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(key: string, figure: number): void {
    this.#expire();
    const { current, previous } = this.#advance(key);
    const largest = Math.max(current.largest, figure);
    this.#keys.set(key, { current: { ...current, largest }, previous });
  }

  /** Returns the largest recent figure; 0 if none was recorded. */
  getLargest(key: string): number {
    const { current, previous } = this.#advance(key);
    return Math.max(current.largest, previous?.largest ?? 0);
  }

  /** Returns the number of keys in memory. */
  countKeys(): number {
    return this.#keys.size;
  }

  /** Forgets keys without a recent figure, such as routes that were removed. */
  #expire(): void {
    const nowMs = this.#clock.getNow();
    if (nowMs - this.#expiredMs < WINDOW_MS) return;
    this.#expiredMs = nowMs;
    for (const [key, { current }] of this.#keys) {
      if (nowMs - current.sinceMs >= 2 * WINDOW_MS) this.#keys.delete(key);
    }
  }

  #advance(key: string): KeyWindows {
    const nowMs = this.#clock.getNow();
    const windows = this.#keys.get(key);
    if (windows !== undefined && nowMs - windows.current.sinceMs < WINDOW_MS) return windows;
    const isRecent = windows !== undefined && nowMs - windows.current.sinceMs < 2 * WINDOW_MS;
    const next = {
      current: { sinceMs: nowMs, largest: 0 },
      previous: isRecent ? windows.current : null,
    };
    this.#keys.set(key, next);
    return next;
  }
}
