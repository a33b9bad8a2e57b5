import type { Header } from '@limpetbay/core';

/** Receives the answer of a target to one call, which ends with exactly one end or failure. */
export interface TargetListener {
  onHead(status: number, headers: readonly Header[]): void;
  /** @param tokens number of tokens in the data; 0 for plain services */
  onData(data: Uint8Array, tokens: number): void;
  /** Called when the answer is complete. */
  onEnd(): void;
  /**
   * Called when the call failed.
   *
   * @param isUnsent whether the target certainly received nothing
   */
  onFailure(message: string, isUnsent: boolean): void;
}
