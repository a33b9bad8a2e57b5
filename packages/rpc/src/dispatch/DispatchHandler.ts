import type { AnswerFrame, Attempt, LoadReport } from '@limpetbay/core';

/** Serves the dispatch protocol in the agent. */
export interface DispatchHandler {
  /**
   * Runs one attempt.
   *
   * @param send sends a frame; returns false when the write buffer of the stream is full
   * @param finish ends the stream after the last frame
   * @returns the function that cancels the attempt; called when the entry cancels it or the
   *   connection closes, also after the last frame and possibly more than once
   */
  run(attempt: Attempt, send: (frame: AnswerFrame) => boolean, finish: () => void): () => void;

  /** Returns the current load report. */
  getLoad(): LoadReport;
}
