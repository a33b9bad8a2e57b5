interface Reading {
  readonly atMs: number;
  readonly step: number;
}

/** Readings over this span give the time of a pass, milliseconds. */
const SPAN_MS = 250;

/** Measures the mean time of a group's recent passes. */
export class PassClock {
  #readings: Reading[] = [];

  /** @returns mean time of a pass over the last readings, milliseconds; 0 where none was begun */
  accept(step: number, nowMs: number): number {
    const last = this.#readings[this.#readings.length - 1];
    if (last !== undefined && step < last.step) this.#readings = [];
    this.#readings.push({ atMs: nowMs, step });
    while (this.#readings.length > 2 && nowMs - (this.#readings[0]?.atMs ?? 0) > SPAN_MS) {
      this.#readings.shift();
    }
    const [first] = this.#readings;
    if (first === undefined || step === first.step) return 0;
    return Math.round((nowMs - first.atMs) / (step - first.step));
  }
}
