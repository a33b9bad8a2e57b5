import type { ErrorKind } from './ErrorKind.js';

/** The error side of a `Result`: a kind of the closed list and a message for people. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly message: string;
  /** Milliseconds after which a retry is worth trying. */
  readonly retryAfterMs?: number;
}
