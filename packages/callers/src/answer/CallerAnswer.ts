import type { Failure, Header } from '@limpetbay/core';

/** Writes the answer to one caller. */
export interface CallerAnswer {
  /** Sends status and headers. */
  start(status: number, headers: readonly Header[]): void;
  /** Sends a part of the body. @returns false if it is buffered because the caller reads slowly */
  write(data: Uint8Array): boolean;
  /** Ends the answer, which is complete. */
  end(): void;
  /**
   * Reports a failure: as a JSON error if nothing has been sent yet. Otherwise it sends an error
   * event if the answer is an event stream, and closes the connection without the final chunk, so
   * that the caller cannot mistake the answer for a complete one.
   */
  fail(failure: Failure): void;
  /** Whether status and headers have been sent. */
  isStarted(): boolean;
}
