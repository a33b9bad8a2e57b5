import type { AnswerFrame } from '@limpetbay/core';

/** Receives what comes back for one attempt. */
export interface DispatchListener {
  acceptFrame(frame: AnswerFrame): void;
  /**
   * The stream ended, cleanly or not; whether the answer is complete follows from its frames.
   *
   * @param neverSent whether the attempt surely never left this process
   */
  acceptEnd(reason: string, neverSent: boolean): void;
}
