import type { AnswerHead } from '../ports/AnswerHead.js';
import type { AttemptResult } from './AttemptResult.js';

/** Receives what an attempt yields. */
export interface AttemptListener {
  /** Whole events of a stream. @param lastId id of the last of them that has one */
  acceptEvents(head: AnswerHead, bytes: Buffer, lastId: string | null): void;
  /** The attempt has ended; nothing follows. */
  acceptResult(result: AttemptResult): void;
}
