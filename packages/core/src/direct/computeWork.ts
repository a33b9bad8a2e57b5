import type { EngineModel } from './EngineModel.js';
import type { RequestWork } from './RequestWork.js';

/**
 * Computes what a request costs a rank whose slots are all in use: its prefill, and for each answer
 * token its own addition to the decoding step and its part of the fixed time of the step.
 */
export function computeWork(
  promptTokens: number,
  answerTokens: number,
  engine: EngineModel,
): RequestWork {
  const prefillMs = (1000 * promptTokens) / engine.prefillTokensPerSecond;
  const meanContextTokens = promptTokens + answerTokens / 2;
  const tokenMs =
    engine.stepMs / engine.capacity +
    engine.perSequenceMs +
    (engine.contextMsPerThousand * meanContextTokens) / 1000;
  return { workMs: prefillMs + answerTokens * tokenMs, kvTokens: promptTokens + answerTokens };
}
