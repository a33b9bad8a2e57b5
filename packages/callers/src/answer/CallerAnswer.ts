import type { Failure, Header } from '@limpetbay/core';

/** Writes the answer to one caller. */
export interface CallerAnswer {
  /** Sends status and headers. */
  start(status: number, headers: readonly Header[]): void;
  /** Sends a part of the body. Returns false while the caller reads too slowly. */
  write(data: Uint8Array): boolean;
  /** Ends a complete answer. */
  end(): void;
  /**
   * Reports a failure: as a JSON error where nothing was sent yet, else as an event of the stream
   * and a broken connection, so that the caller cannot take the answer for a complete one.
   */
  fail(failure: Failure): void;
  /** Whether status and headers have been sent. */
  isStarted(): boolean;
}
