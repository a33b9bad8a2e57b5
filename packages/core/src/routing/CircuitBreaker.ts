import type { RandomSource } from '../random/RandomSource.js';

interface BreakerSettings {
  readonly failuresToOpen: number;
  readonly openMs: number;
  readonly openMaxMs: number;
  readonly probeTimeoutMs: number;
  readonly recoverMs: number;
}

/** Least weight of a recovering target, so that it receives something to prove itself with. */
const LEAST_WEIGHT = 0.05;

/**
 * A circuit breaker for a target or a zone. Closed until a number of failures without a success
 * between them; then open, with one probe at a time; after a successful probe the weight grows
 * linearly to 1, so that recovery brings no burst of load.
 */
export class CircuitBreaker {
  readonly #settings: BreakerSettings;

  readonly #random: RandomSource;

  #failures = 0;

  #open = false;

  /** Failed probes since the breaker opened; each doubles the pause. */
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

  /** Tells whether a probe may start now: the pause is over and no other probe is under way. */
  isProbeDue(nowMs: number): boolean {
    if (!this.#open || nowMs < this.#probeDueMs) return false;
    if (this.#probeStartMs === null) return true;
    return nowMs - this.#probeStartMs >= this.#settings.probeTimeoutMs;
  }

  startProbe(nowMs: number): void {
    this.#probeStartMs = nowMs;
  }

  /** Whether a probe is under way whose result still counts. */
  isProbing(): boolean {
    return this.#probeStartMs !== null;
  }

  /** Ends a probe that proved nothing; the next one starts after the same pause again. */
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
    // Late failures of attempts from before the breaker opened say nothing about the probe.
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

  /** Makes a probe due at once, for a target that has restarted. */
  allowProbe(nowMs: number): void {
    this.#probeStartMs = null;
    this.#probeDueMs = nowMs;
  }

  /** Starts the slow recovery of the weight without a failure before it. */
  startRecovery(nowMs: number): void {
    this.#recoverStartMs = nowMs;
  }

  /** Returns the share of its usual load that the target may receive, 0 to 1. */
  getWeight(nowMs: number): number {
    if (this.#open) return 0;
    const share = (nowMs - this.#recoverStartMs) / this.#settings.recoverMs;
    return Math.min(1, Math.max(LEAST_WEIGHT, share));
  }

  /** The pause has jitter, so that the entries do not probe together. */
  #scheduleProbe(nowMs: number): void {
    const longest = Math.min(
      this.#settings.openMaxMs,
      this.#settings.openMs * 2 ** this.#failedProbes,
    );
    this.#probeDueMs = nowMs + longest * (0.5 + this.#random.next() / 2);
  }
}
