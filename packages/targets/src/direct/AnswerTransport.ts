/** How an answer arrives on its connection. */
export interface AnswerTransport {
  /** What marks the end of the body. */
  readonly framing: 'length' | 'chunks' | 'close';
  /** Whether it is the first answer on its connection, and so cannot belong to an earlier request. */
  readonly isFirst: boolean;
}
