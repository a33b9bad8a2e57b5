/** A request that a target began to run. */
export interface RunRecord {
  readonly target: string;
  /** Id of the run of the target, which starts anew after it has left. */
  readonly targetRun: string;
  /** When it arrived, steady clock, milliseconds. */
  readonly startMs: number;
  /** When the answer was written whole; null while it is not. */
  endMs: number | null;
  /** Whether the target broke off the answer itself. */
  isBrokenOff: boolean;
}
