/** A prompt token is processed in bulk and costs a fraction of a generated one. */
const PROMPT_WEIGHT = 0.1;

/** Estimates the cost of a request, in generated tokens; a plain request costs 1. */
export function estimateCost(request: {
  readonly promptTokens: number;
  readonly maxTokens: number;
}): number {
  return 1 + request.promptTokens * PROMPT_WEIGHT + request.maxTokens;
}
