/** Frames that an `AnswerAssembler` dropped, by reason. */
export interface AnswerDrops {
  /** Another request's frame. */
  readonly request: number;
  /** A frame of another attempt. */
  readonly attempt: number;
  /** A frame from another life of the target. */
  readonly incarnation: number;
  /** A chunk or head that was already received. */
  readonly repeated: number;
  /** A frame after the last event. */
  readonly late: number;
}
