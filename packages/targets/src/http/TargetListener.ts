import type { Header } from '@limpetbay/core';

/** Receives the answer of a target to one call. Exactly one of the last two ends it. */
export interface TargetListener {
  acceptHead(status: number, headers: readonly Header[]): void;
  /** @param tokens tokens that the data carries; 0 for plain services */
  acceptData(data: Uint8Array, tokens: number): void;
  /** The answer is complete. */
  acceptEnd(): void;
  /**
   * The call failed.
   *
   * @param neverSent whether the target surely received nothing
   */
  acceptFailure(message: string, neverSent: boolean): void;
}
