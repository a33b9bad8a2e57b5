import type { AnswerFrame } from '@limpetbay/core';

/** Receives the answer stream of one attempt. */
export interface DispatchListener {
  onFrame(frame: AnswerFrame): void;
  /**
   * Called once when the stream ends, normally or with an error. Whether the answer is complete
   * follows from its frames only.
   *
   * @param reason gRPC error details, or `stream ended`
   * @param neverSent whether the attempt certainly never left this process
   */
  onEnd(reason: string, neverSent: boolean): void;
}
