import type { RandomSource } from '../random/RandomSource.js';

interface BreakerSettings {
  readonly failuresToOpen: number;
  readonly openMs: number;
  readonly openMaxMs: number;
  readonly probeTimeoutMs: number;
  readonly recoverMs: number;
}

/** Minimum weight of a recovering target; without any request it could not show that it works. */
const MIN_RECOVERY_WEIGHT = 0.05;

/**
 * A circuit breaker for a target or a zone. It opens after a number of consecutive failures and
 * then allows one probe at a time. After a successful probe it closes, and the weight grows
 * linearly to 1 to avoid a burst of load on the recovering target.
 */
export class CircuitBreaker {
  readonly #settings: BreakerSettings;

  readonly #random: RandomSource;

  #failures = 0;

  #open = false;

  /** Failed probes since the breaker opened; each doubles the pause before the next. */
  #failedProbes = 0;

  #probeDueMs = 0;

  #probeStartMs: number | null = null;

  #recoverStartMs = -Infinity;

  constructor(settings: BreakerSettings, random: RandomSource) {
    this.#settings = settings;
    this.#random = random;
  }

  isOpen(): boolean {
    return this.#open;
  }

  /** Returns whether a probe may start: the pause is over and no other probe is in progress. */
  isProbeDue(nowMs: number): boolean {
    if (!this.#open || nowMs < this.#probeDueMs) return false;
    if (this.#probeStartMs === null) return true;
    return nowMs - this.#probeStartMs >= this.#settings.probeTimeoutMs;
  }

  startProbe(nowMs: number): void {
    this.#probeStartMs = nowMs;
  }

  /** Returns whether a probe is in progress whose result still counts. */
  isProbing(): boolean {
    return this.#probeStartMs !== null;
  }

  /** Ends an inconclusive probe; the next one starts after the same pause. */
  retryProbe(nowMs: number): void {
    if (this.#probeStartMs === null) return;
    this.#probeStartMs = null;
    this.#scheduleProbe(nowMs);
  }

  /** Opens the breaker at once. */
  open(nowMs: number): void {
    if (this.#open) return;
    this.#open = true;
    this.#failedProbes = 0;
    this.#probeStartMs = null;
    this.#scheduleProbe(nowMs);
  }

  recordFailure(nowMs: number): void {
    this.#failures += 1;
    if (!this.#open) {
      if (this.#failures >= this.#settings.failuresToOpen) this.open(nowMs);
      return;
    }
    // Failures of attempts sent before the breaker opened are not the result of a probe.
    if (this.#probeStartMs === null) return;
    this.#probeStartMs = null;
    this.#failedProbes += 1;
    this.#scheduleProbe(nowMs);
  }

  recordSuccess(nowMs: number): void {
    this.#failures = 0;
    if (!this.#open) return;
    this.#open = false;
    this.#probeStartMs = null;
    this.#recoverStartMs = nowMs;
  }

  /** Makes a probe due immediately, for a target that has restarted. */
  allowProbe(nowMs: number): void {
    this.#probeStartMs = null;
    this.#probeDueMs = nowMs;
  }

  /** Restarts the gradual growth of the weight without a preceding failure. */
  startRecovery(nowMs: number): void {
    this.#recoverStartMs = nowMs;
  }

  /** Returns the share of its usual load that the target may receive, 0 to 1. */
  getWeight(nowMs: number): number {
    if (this.#open) return 0;
    const share = (nowMs - this.#recoverStartMs) / this.#settings.recoverMs;
    return Math.min(1, Math.max(MIN_RECOVERY_WEIGHT, share));
  }

  /** Adds jitter to the pause, so that entries do not all probe at the same time. */
  #scheduleProbe(nowMs: number): void {
    const pauseMs = Math.min(
      this.#settings.openMaxMs,
      this.#settings.openMs * 2 ** this.#failedProbes,
    );
    this.#probeDueMs = nowMs + pauseMs * (0.5 + this.#random.next() / 2);
  }
}
