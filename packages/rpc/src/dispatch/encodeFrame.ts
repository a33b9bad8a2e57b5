import type { AnswerFrame } from '@limpetbay/core';
import type { WireFrame } from './WireFrame.js';

/** Encodes an answer frame for the protobuf codec. */
export function encodeFrame(frame: AnswerFrame): WireFrame {
  const { type, ...part } = frame.part;
  return {
    requestId: frame.requestId,
    attempt: frame.attempt,
    incarnation: frame.incarnation,
    [type]: part,
  };
}
