import type { Clock } from '../clock/Clock.js';

interface WaitingRequest {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Longest wait, milliseconds. */
  readonly maxWaitMs: number;
  /** Sends the request if a target admits it now. @returns whether it was sent or has ended */
  readonly tryStart: () => boolean;
  /** Ends the wait without a target. */
  readonly expire: () => void;
}

interface QueuedRequest extends WaitingRequest {
  readonly untilMs: number;
}

/**
 * Requests that wait a short time for room at their targets, the most urgent and oldest first. It
 * answers days on which demand for experts shifts: the passes are long until the next map is in
 * force, and streams that start after it still meet their objective.
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

  enqueue(request: WaitingRequest): void {
    const untilMs = this.#clock.getNow() + request.maxWaitMs;
    let at = this.#waiting.length;
    while (at > 0 && (this.#waiting[at - 1]?.priority ?? 0) > request.priority) at -= 1;
    this.#waiting.splice(at, 0, { ...request, untilMs });
  }

  /** Starts what can start, in order, and ends the waits that are over. */
  advance(): void {
    const nowMs = this.#clock.getNow();
    const waiting = this.#waiting;
    const kept: QueuedRequest[] = [];
    this.#waiting = [];
    let hasRoom = true;
    for (const request of waiting) {
      if (hasRoom && request.tryStart()) continue;
      hasRoom = false;
      if (nowMs >= request.untilMs) request.expire();
      else kept.push(request);
    }
    this.#waiting = [...kept, ...this.#waiting];
  }
}
