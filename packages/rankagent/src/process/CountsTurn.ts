import { fail, Ok, type Clock, type Failure, type RankStatus, type Result } from '@limpetbay/core';
import type { RankControl } from '../ports/RankControl.js';
import type { TrafficBudget } from './TrafficBudget.js';

interface CountsTurnOptions {
  readonly clock: Clock;
  readonly budget: TrafficBudget;
  readonly readCounts: RankControl['readCounts'];
}

interface Reading {
  readonly counts: readonly number[];
  /** Last pass that the rank had begun. */
  readonly step: number;
  readonly readMs: number;
}

/** Shortest time between the two readings of a turn; the interval of the demand, milliseconds. */
const INTERVAL_MS = 100;

/**
 * Measures the demand for experts at one rank when it is its turn. Ranks take turns, each with the
 * counts of its latest passes only: the demand of earlier ones may have shifted, and those of other
 * ranks have represented them. A turn lasts until a pass has chosen experts.
 */
export class CountsTurn {
  readonly #options: CountsTurnOptions;

  /** First reading of a turn; null between turns. */
  #first: Reading | null = null;

  #nextTurnMs = -Infinity;

  /** Number of counts that the rank reports. */
  #countsLength = 0;

  constructor(options: CountsTurnOptions) {
    this.#options = options;
  }

  /** Begins with the first turn again, as after a restart of the rank. */
  clear(): void {
    this.#first = null;
    this.#nextTurnMs = -Infinity;
  }

  /** Returns the time until the rank should be read for its turn, milliseconds. */
  getDelayMs(): number {
    if (this.#first !== null) return INTERVAL_MS;
    return Math.max(0, this.#nextTurnMs - this.#options.clock.getNow());
  }

  /**
   * Reads the counts if a reading is due.
   *
   * @param status status of the rank that was read just before
   * @returns the increases of the counts over the turn; null while it is not over
   */
  async advance(status: RankStatus): Promise<Result<readonly number[] | null, Failure>> {
    const { clock, readCounts } = this.#options;
    const nowMs = clock.getNow();
    const first = this.#first;
    if (nowMs < this.#nextTurnMs) return Ok(null);
    if (first !== null && nowMs - first.readMs < INTERVAL_MS) return Ok(null);
    // Without a pass since then, the counts are the same.
    if (first?.step === status.step) return Ok(null);
    const read = await readCounts();
    if (read.err) return fail(read.val.kind, read.val.message);
    const { counts } = read.val;
    this.#countsLength = counts.length;
    this.#first = { counts, step: status.step, readMs: nowMs };
    if (first?.counts.length !== counts.length) return Ok(null);
    const increases = counts.map((count, index) => count - (first.counts[index] ?? 0));
    // A restarted rank counts from 0 again.
    if (increases.some((count) => count < 0)) return Ok(null);
    if (increases.every((count) => count === 0)) return Ok(null);
    this.#first = null;
    this.#nextTurnMs = this.#findNextTurn(status, nowMs);
    return Ok(increases);
  }

  /** Returns the first turn of the rank after a time; the turns of a group are spread evenly. */
  #findNextTurn({ rank, size }: RankStatus, afterMs: number): number {
    const { budget } = this.#options;
    const periodMs = budget.getCountsPeriod(size, this.#countsLength, INTERVAL_MS) * INTERVAL_MS;
    const phaseMs = (rank * INTERVAL_MS) % periodMs;
    const turns = Math.floor((afterMs - phaseMs) / periodMs) + 1;
    return turns * periodMs + phaseMs;
  }
}
