/** Measurements of a finished request. */
export interface AdmissionSample {
  /** Time from the dispatch to the target until the end of the answer, milliseconds. */
  readonly serviceTimeMs: number;
  /** Mean time between generated tokens, milliseconds; 0 when unknown. */
  readonly stepTimeMs: number;
  /** Whether the target failed; an invalid request of a caller does not count. */
  readonly error: boolean;
}
