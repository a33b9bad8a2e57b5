/** Number of frames dropped by an `AnswerAssembler`, by reason. */
export interface DropCounts {
  /** Frames of another request. */
  readonly request: number;
  /** Frames of another attempt. */
  readonly attempt: number;
  /** Frames from another incarnation of the target. */
  readonly incarnation: number;
  /** Chunks or heads that were already received. */
  readonly repeated: number;
  /** Frames after the last event. */
  readonly late: number;
}
