import type { Clock } from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';

interface StoreContactOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Called when the store becomes unavailable to this process, or available again. */
  readonly onChange: (isUnavailable: boolean) => void;
}

/**
 * Least time without an answer that counts as an outage, milliseconds. Registrations of processes
 * that run outlast a shorter one.
 */
const MIN_OUTAGE_MS = 1000;

/** A process that was paused advances this clock later than this, milliseconds. */
const MAX_ADVANCE_GAP_MS = 1000;

/**
 * Whether the store answers this process, from the results of all its calls. The end of a watch that
 * waits is not one of them: a lost connection does not show that the store is away.
 */
export class StoreContact {
  readonly #options: StoreContactOptions;

  /** When the store last answered, monotonic milliseconds without the pauses of this process. */
  #answeredMs: number;

  #advancedMs: number;

  /** Calls that failed since the last answer. */
  #failures = 0;

  #lastCause = '';

  #isUnavailable = false;

  constructor(options: StoreContactOptions) {
    this.#options = options;
    this.#answeredMs = options.clock.getNow();
    this.#advancedMs = this.#answeredMs;
  }

  isAvailable(): boolean {
    return !this.#isUnavailable;
  }

  handleAnswer(): void {
    // Nobody may have noticed yet that an outage has lasted long enough.
    this.#detectOutage();
    const { clock, log, onChange } = this.#options;
    const silentMs = clock.getNow() - this.#answeredMs;
    const failures = this.#failures;
    this.#answeredMs = clock.getNow();
    this.#failures = 0;
    if (!this.#isUnavailable) return;
    this.#isUnavailable = false;
    log.warn('store available again', { silentMs: Math.round(silentMs), failures });
    onChange(false);
  }

  handleFailure(cause: string): void {
    this.#failures += 1;
    this.#lastCause = cause;
  }

  /** Must be called a few times a second. */
  advance(): void {
    const nowMs = this.#options.clock.getNow();
    const gapMs = nowMs - this.#advancedMs;
    this.#advancedMs = nowMs;
    // Calls that were under way fail after a pause, although the store may have answered them.
    if (gapMs > MAX_ADVANCE_GAP_MS) this.#answeredMs = Math.min(nowMs, this.#answeredMs + gapMs);
    this.#detectOutage();
  }

  #detectOutage(): void {
    const { clock, log, metrics, onChange } = this.#options;
    const silentMs = clock.getNow() - this.#answeredMs;
    if (this.#isUnavailable || this.#failures === 0 || silentMs < MIN_OUTAGE_MS) return;
    this.#isUnavailable = true;
    metrics.increase('limpetbay_store_outages_total');
    log.warn('store unavailable; trying again', {
      silentMs: Math.round(silentMs),
      failures: this.#failures,
      cause: this.#lastCause,
    });
    onChange(true);
  }
}
