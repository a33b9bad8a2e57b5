import type { RankStatus } from '@limpetbay/core';

/** A pass of a loaded group takes at most about half of this time, milliseconds. */
const MIN_STALL_MS = 400;

/** Passes may become longer than the recent ones, by up to this factor. */
const PASS_TIME_FACTOR = 2;

/** Detects that a group with work begins no passes, as while one of its ranks holds the next one. */
export class StallDetector {
  #epoch: number | null = null;

  #step = -1;

  /** Time of the last pass that took place; a group without work counts as well. */
  #lastProgressMs = Infinity;

  /** Mean time of the passes before the last one, milliseconds. */
  #passMs = 0;

  /** Records the status of the rank that this process reads itself. */
  recordStatus(status: RankStatus, nowMs: number): void {
    const hasWork = status.active + status.queued > 0 || status.armed !== null;
    const hasAdvanced = status.epoch !== this.#epoch || status.step !== this.#step;
    if (hasAdvanced && status.passMs > 0) this.#passMs = status.passMs;
    if (!hasAdvanced && hasWork && status.isOpen) return;
    this.#epoch = status.epoch;
    this.#step = status.step;
    this.#lastProgressMs = nowMs;
  }

  isStalled(nowMs: number): boolean {
    return nowMs - this.#lastProgressMs >= Math.max(MIN_STALL_MS, PASS_TIME_FACTOR * this.#passMs);
  }
}
