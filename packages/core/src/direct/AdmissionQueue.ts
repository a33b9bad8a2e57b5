import type { Clock } from '../clock/Clock.js';

interface WaitingRequest {
  /** Requests of one service wait for the same room. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Wait after which the request misses its objective even if it starts, milliseconds. */
  readonly freshMs: number;
  /** Longest wait, milliseconds. */
  readonly maxWaitMs: number;
  /** Sends the request if a target admits it now. @returns whether it was sent or has ended */
  readonly tryStart: () => boolean;
  /** Ends the wait without a target. */
  readonly expire: () => void;
}

interface QueuedRequest extends WaitingRequest {
  readonly freshUntilMs: number;
  readonly untilMs: number;
}

/**
 * Requests that wait for room at their targets: the most urgent first, then those that can still
 * meet their objective, then the oldest. It answers days on which demand for experts shifts, when
 * passes are long until the next map is in force, and losses of power, after which callers are
 * back before the groups have formed.
 */
export class AdmissionQueue {
  readonly #clock: Clock;

  #waiting: QueuedRequest[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  count(): number {
    return this.#waiting.length;
  }

  /**
   * @param maxWaiting requests of the service that may wait; beyond it the last in order is refused
   */
  enqueue(request: WaitingRequest, maxWaiting: number): void {
    const nowMs = this.#clock.getNow();
    const freshUntilMs = nowMs + request.freshMs;
    this.#waiting.push({ ...request, freshUntilMs, untilMs: nowMs + request.maxWaitMs });
    if (this.#countOf(request.service) > maxWaiting) this.#refuseLast(request.service, nowMs);
  }

  /** Starts what can start, in order, and ends the waits that are over. */
  advance(): void {
    const nowMs = this.#clock.getNow();
    const waiting = this.#sort(nowMs);
    const kept: QueuedRequest[] = [];
    const full = new Set<string>();
    this.#waiting = [];
    for (const request of waiting) {
      if (!full.has(request.service) && request.tryStart()) continue;
      full.add(request.service);
      if (nowMs >= request.untilMs) request.expire();
      else kept.push(request);
    }
    this.#waiting = [...kept, ...this.#waiting];
  }

  #countOf(service: string): number {
    let count = 0;
    for (const request of this.#waiting) if (request.service === service) count += 1;
    return count;
  }

  /** A request that can still meet its objective takes the place of one that cannot. */
  #refuseLast(service: string, nowMs: number): void {
    this.#waiting = this.#sort(nowMs);
    const at = this.#waiting.map((request) => request.service).lastIndexOf(service);
    for (const request of this.#waiting.splice(at, 1)) request.expire();
  }

  #sort(nowMs: number): QueuedRequest[] {
    return [...this.#waiting].sort((a, b) => {
      if (a.priority !== b.priority) return a.priority - b.priority;
      const isLateA = nowMs > a.freshUntilMs;
      const isLateB = nowMs > b.freshUntilMs;
      if (isLateA !== isLateB) return isLateA ? 1 : -1;
      return a.untilMs - b.untilMs;
    });
  }
}
