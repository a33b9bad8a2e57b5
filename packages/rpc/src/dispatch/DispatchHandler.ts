import type { AnswerFrame, Attempt, LoadReport } from '@limpetbay/core';

/** The agent's side of the dispatch protocol. */
export interface DispatchHandler {
  /**
   * Runs one attempt.
   *
   * @param send sends a frame; returns false when the peer reads too slowly
   * @param finish ends the stream after the last frame
   * @returns a function to call when the entry cancels the attempt or its connection breaks
   */
  run(attempt: Attempt, send: (frame: AnswerFrame) => boolean, finish: () => void): () => void;

  /** Returns the present load report. */
  getLoad(): LoadReport;
}
