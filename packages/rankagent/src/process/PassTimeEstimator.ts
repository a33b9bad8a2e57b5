interface Reading {
  readonly readMs: number;
  readonly step: number;
}

/** Time over which readings are averaged, milliseconds. */
const WINDOW_MS = 250;

/** Computes the mean time of a group's recent passes from readings of its step. */
export class PassTimeEstimator {
  #readings: Reading[] = [];

  /**
   * Records a reading.
   *
   * @param step last pass that the rank began
   * @returns mean time of a pass over the recent readings, milliseconds; 0 if no pass began
   */
  recordStep(step: number, nowMs: number): number {
    const last = this.#readings[this.#readings.length - 1];
    if (last !== undefined && step < last.step) this.#readings = [];
    this.#readings.push({ readMs: nowMs, step });
    while (this.#readings.length > 2 && nowMs - (this.#readings[0]?.readMs ?? 0) > WINDOW_MS) {
      this.#readings.shift();
    }
    const [first] = this.#readings;
    if (first === undefined || step === first.step) return 0;
    return Math.round((nowMs - first.readMs) / (step - first.step));
  }
}
