import type { CallerRequest } from '@limpetbay/callers';

/**
 * Computes the cost of a request against the limit of its workspace: its tokens plus 1, so that
 * requests to plain services count too.
 */
export function computeCost({ promptTokens, maxTokens }: CallerRequest): number {
  return 1 + promptTokens + maxTokens;
}
