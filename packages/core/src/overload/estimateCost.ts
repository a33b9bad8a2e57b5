/** Cost of a prompt token in generated tokens; low because prompts are processed in bulk. */
const PROMPT_TOKEN_COST = 0.1;

/** Estimates the cost of a request, in generated tokens; a plain request costs 1. */
export function estimateCost(request: {
  readonly promptTokens: number;
  readonly maxTokens: number;
}): number {
  return 1 + request.promptTokens * PROMPT_TOKEN_COST + request.maxTokens;
}
