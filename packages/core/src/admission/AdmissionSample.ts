/** What an agent measured on a finished request. */
export interface AdmissionSample {
  /** Milliseconds from the hand-over to the target until the end of the answer. */
  readonly serviceTimeMs: number;
  /** Mean time between generated tokens, milliseconds; 0 when not known. */
  readonly stepTimeMs: number;
  /** Whether the target failed; a caller's mistake is not an error of the target. */
  readonly error: boolean;
}
