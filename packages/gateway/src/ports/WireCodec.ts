import type { IncomingMessage } from 'node:http';
import type { RequestHead } from '@limpetbay/core';
import type { AnswerHead } from './AnswerHead.js';
import type { AttemptHead } from './AttemptHead.js';

/**
 * Converts between HTTP headers of a deployment's callers and targets and the types of an entry.
 */
export interface WireCodec {
  readRequest(message: IncomingMessage): RequestHead;
  /** Lists the headers of a request to a target. @returns alternating names and values */
  listTargetHeaders(head: RequestHead, attempt: AttemptHead): string[];
  readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerHead;
  /**
   * Lists the headers of an answer that the entry generates. @returns alternating names and values
   */
  listOwnHeaders(head: RequestHead): string[];
}
