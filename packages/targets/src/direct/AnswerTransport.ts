/** How an answer arrives on its connection. */
export interface AnswerTransport {
  /** What marks the end of the body; `close` is the end of the connection, `none` that of the head. */
  readonly framing: 'none' | 'length' | 'chunks' | 'close';
  /** Whether it is the first answer on its connection, and so cannot belong to an earlier request. */
  readonly isFirst: boolean;
}
