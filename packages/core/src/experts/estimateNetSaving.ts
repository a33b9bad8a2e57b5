import type { ChangeCost } from './ChangeCost.js';

/**
 * Estimates what a change of the map saves.
 *
 * @param skewNow slowest rank / mean rank with the present map
 * @param skewNext the same with the new map
 * @param moves copies to load
 * @param lifetimeSeconds time for which the new map is expected to stay
 * @returns group-seconds saved less group-seconds spent; positive where the change is worthwhile
 */
export function estimateNetSaving(
  cost: ChangeCost,
  skewNow: number,
  skewNext: number,
  moves: number,
  lifetimeSeconds: number,
): number {
  const stepNow = 1 - cost.expertShare + cost.expertShare * skewNow;
  const saved = (cost.expertShare * (skewNow - skewNext)) / stepNow;
  const loadSeconds = (moves * cost.bytesPerCopy) / cost.weightBytesPerSecond;
  // The new map helps only after its weights are loaded.
  const useSeconds = Math.max(0, lifetimeSeconds - loadSeconds);
  return saved * useSeconds - loadSeconds * cost.lossPerLoadSecond - cost.stallSeconds;
}
