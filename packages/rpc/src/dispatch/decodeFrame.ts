import type { AnswerFrame, Incarnation, RequestId } from '@limpetbay/core';
import type { WireFrame } from './WireFrame.js';

/**
 * Decodes a frame from the wire.
 *
 * @returns the frame, or null where no part is set
 */
export function decodeFrame(wire: WireFrame): AnswerFrame | null {
  if (wire.part === undefined) return null;
  const part = wire[wire.part];
  if (typeof part !== 'object' || part === null) return null;
  return {
    requestId: wire.requestId as RequestId,
    attempt: wire.attempt,
    incarnation: wire.incarnation as Incarnation,
    part: { type: wire.part, ...part } as unknown as AnswerFrame['part'],
  };
}
