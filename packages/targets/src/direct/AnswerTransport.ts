/** How an answer arrives on its connection. */
export interface AnswerTransport {
  /** What marks the end of the body; `close` is the end of the connection, `none` that of the head. */
  readonly framing: 'none' | 'length' | 'chunks' | 'close';
  /** Length of the body that the head names, bytes; null without one. */
  readonly length: number | null;
  /** Whether it is the first answer on its connection, and so cannot belong to an earlier request. */
  readonly isFirst: boolean;
  /** Stops or continues to read the body; up to 128 KiB more may arrive after a stop. */
  readonly setPaused: (isPaused: boolean) => void;
}
