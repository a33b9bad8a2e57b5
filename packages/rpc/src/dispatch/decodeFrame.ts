import type { AnswerFrame, Incarnation, RequestId } from '@limpetbay/core';
import type { WireFrame } from './WireFrame.js';

/**
 * Decodes an answer frame of the protobuf codec.
 *
 * @returns the frame, or null if no part is set
 */
export function decodeFrame(wireFrame: WireFrame): AnswerFrame | null {
  if (wireFrame.part === undefined) return null;
  const part = wireFrame[wireFrame.part];
  if (typeof part !== 'object' || part === null) return null;
  return {
    requestId: wireFrame.requestId as RequestId,
    attempt: wireFrame.attempt,
    incarnation: wireFrame.incarnation as Incarnation,
    part: { type: wireFrame.part, ...part } as unknown as AnswerFrame['part'],
  };
}
