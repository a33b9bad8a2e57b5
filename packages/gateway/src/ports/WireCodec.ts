import type { IncomingMessage } from 'node:http';
import type { RequestHead } from '@limpetbay/core';
import type { AnswerHead } from './AnswerHead.js';
import type { AttemptHead } from './AttemptHead.js';

/** Translates between the headers of a deployment's callers and targets and those types. */
export interface WireCodec {
  readRequest(message: IncomingMessage): RequestHead;
  /** @returns name and value in turn */
  listTargetHeaders(head: RequestHead, attempt: AttemptHead): string[];
  readAnswer(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): AnswerHead;
  /** Headers of an answer that no target gave, name and value in turn. */
  listOwnHeaders(head: RequestHead): string[];
}
