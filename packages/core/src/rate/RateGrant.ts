/** The answer to a process that asks for one request out of a shared rate. */
export interface RateGrant {
  readonly isGranted: boolean;
  /** When to ask again, milliseconds; 0 if granted. */
  readonly retryAfterMs: number;
}
