import type { ErrorKind } from './ErrorKind.js';

/** The error value of a `Result`: an error kind and a human-readable message. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly message: string;
  /** Milliseconds after which a retry is worth trying. */
  readonly retryAfterMs?: number;
}
