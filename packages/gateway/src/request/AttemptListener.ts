import type { AnswerHead } from '../ports/AnswerHead.js';
import type { AttemptResult } from './AttemptResult.js';

/** Receives the events and the result of an attempt. */
export interface AttemptListener {
  /** Called with complete events of a stream. @param lastId id of the last one; null if it has none */
  onEvents(head: AnswerHead, bytes: Buffer, lastId: string | null): void;
  /**
   * Called with parts of a body that is passed on before its end.
   *
   * @param length of the whole body, bytes; null if it is not known
   */
  onBody(head: AnswerHead, parts: readonly Buffer[], length: number | null): void;
  /** Returns whether another attempt may follow if this one is given up for its silence. */
  canBeReplaced(): boolean;
  /** Called once, when the attempt has ended; no further call follows. */
  onResult(result: AttemptResult): void;
}
