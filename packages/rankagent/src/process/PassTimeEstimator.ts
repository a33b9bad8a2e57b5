interface Reading {
  readonly readMs: number;
  readonly step: number;
}

/** Time over which readings are averaged, milliseconds. */
const WINDOW_MS = 250;

/** Longest time for which a busy group may take for one pass and still count as running. */
const MAX_PASS_MS = 2000;

/** Computes the mean time of a group's recent passes from readings of its step. */
export class PassTimeEstimator {
  #readings: Reading[] = [];

  /**
   * Records a reading.
   *
   * @param step last pass that the rank began
   * @param isBusy whether the rank has requests, so that a missing pass is a long one
   * @returns mean time of a pass over the recent readings, milliseconds; 0 if no pass began
   */
  recordStep(step: number, isBusy: boolean, nowMs: number): number {
    const last = this.#readings[this.#readings.length - 1];
    if (last !== undefined && step < last.step) this.#readings = [];
    this.#readings.push({ readMs: nowMs, step });
    while (this.#readings.length > 2 && this.#isOutdated(step, isBusy, nowMs)) {
      this.#readings.shift();
    }
    const [first] = this.#readings;
    if (first === undefined || step === first.step) return 0;
    return Math.round((nowMs - first.readMs) / (step - first.step));
  }

  /** Returns whether the oldest reading is not needed any more. */
  #isOutdated(step: number, isBusy: boolean, nowMs: number): boolean {
    const [first, second] = this.#readings;
    if (first === undefined || second === undefined) return false;
    const ageMs = nowMs - first.readMs;
    if (ageMs <= WINDOW_MS) return false;
    // A pass that takes longer than the window began before the oldest reading in it.
    const isNeeded = isBusy && first.step < step && second.step === step;
    return !isNeeded || ageMs > MAX_PASS_MS;
  }
}
