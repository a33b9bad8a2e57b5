import type { DirectAnswerHead } from './DirectAnswerHead.js';

/** What arrived of the answer of an attempt until it ended. */
export interface ReceivedAnswer {
  /** Null if no complete head arrived. */
  readonly head: DirectAnswerHead | null;
  /** Whether it is the first answer on its connection, and so cannot belong to an earlier request. */
  readonly isFirst: boolean;
  /**
   * `complete` by its framing; `cut` by the end or reset of its connection, or given up; `unsent`
   * if nothing of the request reached the target.
   */
  readonly end: 'complete' | 'cut' | 'unsent';
  /** Whether the caller was sent a part of a body before its end. */
  readonly isForwarded: boolean;
  /** Complete events of a stream that were passed on. */
  readonly events: number;
  /** Id of the first event; null where it has none or none arrived. */
  readonly firstEventId: string | null;
  /** Bytes after the last complete event of a stream. */
  readonly pendingBytes: number;
}
