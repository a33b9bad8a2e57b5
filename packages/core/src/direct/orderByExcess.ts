import type { WaitingShare } from './WaitingShare.js';

interface SharedRequest {
  readonly share?: WaitingShare | null;
}

/**
 * Orders waiting requests of the same rank by the excess of their workspaces. Each request counts
 * the work of its workspace's requests before it, so that a queue that one workspace has filled
 * ends with its requests.
 *
 * @param sorted requests in the order that holds without shares, which stays the order at equal excess
 * @param compareRank compares priority and lateness, which go before the excess
 */
export function orderByExcess<T extends SharedRequest>(
  sorted: readonly T[],
  compareRank: (a: T, b: T) => number,
): T[] {
  const workAheadMs = new Map<string, number>();
  const excesses = new Map<T, number>();
  for (const request of sorted) {
    const { share } = request;
    if (share === undefined || share === null) continue;
    const aheadMs = workAheadMs.get(share.key) ?? 0;
    workAheadMs.set(share.key, aheadMs + share.workMs);
    excesses.set(request, share.getExcess(aheadMs));
  }
  if (excesses.size === 0) return [...sorted];
  return [...sorted].sort(
    (a, b) => compareRank(a, b) || (excesses.get(a) ?? 0) - (excesses.get(b) ?? 0),
  );
}
