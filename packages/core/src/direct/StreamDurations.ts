import type { Clock } from '../clock/Clock.js';

interface Window {
  readonly sinceMs: number;
  readonly longestMs: number;
}

interface RouteWindows {
  readonly current: Window;
  readonly previous: Window | null;
}

/** A duration counts until the second window after its own begins, milliseconds. */
const WINDOW_MS = 30_000;

/** The longest streams that recently ended as complete, by route. */
export class StreamDurations {
  readonly #clock: Clock;

  readonly #routes = new Map<string, RouteWindows>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  record(route: string, durationMs: number): void {
    const { current, previous } = this.#advance(route);
    const longestMs = Math.max(current.longestMs, durationMs);
    this.#routes.set(route, { current: { ...current, longestMs }, previous });
  }

  /** Returns the longest recent duration, milliseconds; 0 if no stream of the route ended. */
  getLongestMs(route: string): number {
    const { current, previous } = this.#advance(route);
    return Math.max(current.longestMs, previous?.longestMs ?? 0);
  }

  #advance(route: string): RouteWindows {
    const nowMs = this.#clock.getNow();
    const windows = this.#routes.get(route);
    if (windows !== undefined && nowMs - windows.current.sinceMs < WINDOW_MS) return windows;
    const isRecent = windows !== undefined && nowMs - windows.current.sinceMs < 2 * WINDOW_MS;
    const next = {
      current: { sinceMs: nowMs, longestMs: 0 },
      previous: isRecent ? windows.current : null,
    };
    this.#routes.set(route, next);
    return next;
  }
}
