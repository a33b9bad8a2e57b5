import type { CallerRequest } from '@limpetbay/callers';

/** Cost of a request in the unit of the workspace shares. */
export function computeCost({ promptTokens, maxTokens }: CallerRequest): number {
  return 1 + promptTokens + maxTokens;
}
