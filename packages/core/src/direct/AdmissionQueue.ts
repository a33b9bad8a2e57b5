import type { Clock } from '../clock/Clock.js';
import { computeSlotFraction } from './computeSlotFraction.js';
import type { UnavailableReason } from './UnavailableReason.js';
import type { WaitingShare } from './WaitingShare.js';
import { orderByExcess } from './orderByExcess.js';

interface WaitingRequest {
  /** Requests of one service wait for the same capacity. */
  readonly service: string;
  /** 0 for the most urgent class of the service, then 1 and so on. */
  readonly urgencyRank: number;
  /** Longest wait after which a start can still meet the latency objective, milliseconds. */
  readonly startSlackMs: number;
  /** Wait after which the request is refused, milliseconds. */
  readonly maxWaitMs: number;
  /** Returns whether targets that could take other requests may be closed to this one. */
  readonly isRestricted: () => boolean;
  /** Returns why it waits. */
  readonly getReason: () => UnavailableReason;
  /** What it claims from the share of its workspace; absent where workspaces have no shares. */
  readonly share?: WaitingShare | null;
  /** Dispatches the request if a target admits it now. @returns whether it no longer waits */
  readonly tryStart: () => boolean;
  /** Ends the wait and refuses the request. */
  readonly expire: () => void;
}

interface QueuedRequest extends WaitingRequest {
  readonly latestOnTimeStartMs: number;
  readonly expiresAtMs: number;
}

/**
 * Requests that wait for capacity at their targets: the most urgent first, where a late request counts
 * as one class less urgent; then those that can still meet their objective, then those of workspaces
 * within their share, then those whose wait expires first. The queue covers two situations: demand for
 * experts shifts and passes are long until the next expert map is active; and after a power failure
 * callers reconnect before the groups have formed.
 */
export class AdmissionQueue {
  readonly #clock: Clock;

  #waiting: QueuedRequest[] = [];

  /** Called after a request began to wait; `advance` must then be called until none waits. */
  readonly #onWaiting: () => void;

  constructor(clock: Clock, onWaiting: () => void = () => {}) {
    this.#clock = clock;
    this.#onWaiting = onWaiting;
  }

  count(): number {
    return this.#waiting.length;
  }

  /**
   * @param maxWaiting most requests of the service that may wait; above it the last is refused
   */
  enqueue(request: WaitingRequest, maxWaiting: number): void {
    const nowMs = this.#clock.getNow();
    const latestOnTimeStartMs = nowMs + request.startSlackMs;
    this.#waiting.push({ ...request, latestOnTimeStartMs, expiresAtMs: nowMs + request.maxWaitMs });
    if (this.#countWaiting(request.service) > maxWaiting) this.#refuseLast(request.service, nowMs);
    this.#onWaiting();
  }

  /** Returns why a request that precedes a new one of a class waits; null if none does. */
  findPrecedingReason(service: string, urgencyRank: number): UnavailableReason | null {
    const nowMs = this.#clock.getNow();
    for (const request of this.#waiting) {
      if (request.service !== service || request.isRestricted()) continue;
      if (request.share?.isYielding() === true) continue;
      if (!isLate(request, nowMs) && request.urgencyRank <= urgencyRank) return request.getReason();
    }
    return null;
  }

  /** Dispatches, in order, what targets admit, and refuses requests whose wait has expired. */
  advance(): void {
    const nowMs = this.#clock.getNow();
    const waiting = this.#sort(nowMs);
    const stillWaiting: QueuedRequest[] = [];
    // The largest fraction of the slots of a service that is known to be filled.
    const filledFractions = new Map<string, number>();
    this.#waiting = [];
    let handled = 0;
    try {
      for (const request of waiting) {
        handled += 1;
        if (nowMs < request.expiresAtMs && request.share?.isYielding() === true) {
          stillWaiting.push(request);
          continue;
        }
        const fraction = computeSlotFraction(request.urgencyRank, isLate(request, nowMs));
        const filledFraction = filledFractions.get(request.service) ?? 0;
        if (fraction > filledFraction) {
          if (request.tryStart()) continue;
          if (!request.isRestricted()) filledFractions.set(request.service, fraction);
        }
        if (nowMs >= request.expiresAtMs) request.expire();
        else stillWaiting.push(request);
      }
    } finally {
      // After an error in one request, those behind it still wait.
      this.#waiting = [...stillWaiting, ...waiting.slice(handled), ...this.#waiting];
    }
  }

  #countWaiting(service: string): number {
    let count = 0;
    for (const request of this.#waiting) if (request.service === service) count += 1;
    return count;
  }

  /** Refuses the last in order, so that requests past their objective are refused first. */
  #refuseLast(service: string, nowMs: number): void {
    this.#waiting = this.#sort(nowMs);
    const at = this.#waiting.map((request) => request.service).lastIndexOf(service);
    for (const request of this.#waiting.splice(at, 1)) request.expire();
  }

  #sort(nowMs: number): QueuedRequest[] {
    const compareRank = (a: QueuedRequest, b: QueuedRequest): number => {
      const isLateA = isLate(a, nowMs);
      const isLateB = isLate(b, nowMs);
      const rankA = a.urgencyRank + Number(isLateA);
      const rankB = b.urgencyRank + Number(isLateB);
      return rankA - rankB || Number(isLateA) - Number(isLateB);
    };
    const sorted = [...this.#waiting].sort(
      (a, b) => compareRank(a, b) || a.expiresAtMs - b.expiresAtMs,
    );
    return orderByExcess(sorted, compareRank);
  }
}

function isLate({ latestOnTimeStartMs }: QueuedRequest, nowMs: number): boolean {
  return nowMs > latestOnTimeStartMs;
}
