import type { EngineModel } from './EngineModel.js';

/**
 * Estimates the time of a pass of a group whose ranks all decode the same number of requests. The
 * part of the experts takes as long as the most loaded rank of each set.
 *
 * @param sequences requests that each rank decodes
 * @param skew load of the most loaded rank relative to the mean, averaged over the sets
 * @returns milliseconds, without the reading of prompts
 */
export function estimatePassMs(engine: EngineModel, sequences: number, skew: number): number {
  const { stepMs, perSequenceMs, stride, experts } = engine;
  const share = experts?.workShare ?? 0;
  const slowdown = 1 - share + share * skew;
  return stride * (stepMs + perSequenceMs * sequences) * slowdown;
}
