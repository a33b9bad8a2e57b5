/** One line that a bench prints. */
export interface BenchResult {
  readonly name: string;
  readonly seed: number;
  readonly figure: number;
  readonly unit: string;
  /** The same figure for the baseline; null where there is none. */
  readonly baseline: number | null;
  /** `figure / baseline`; null where there is no baseline. */
  readonly ratio: number | null;
  /** Limit from the stated target, with its direction; null for a figure that only informs. */
  readonly bound: string | null;
  readonly pass: boolean;
}
