import type { ChangeCost } from './ChangeCost.js';

/**
 * Estimates the net group time that a change of the map saves.
 *
 * @param skewNow load of the slowest rank / mean rank with the current map
 * @param skewNext the same with the new map
 * @param moves copies to load
 * @param lifetimeSeconds expected time until the new map is replaced
 * @returns group-seconds saved less group-seconds spent; positive if the change is worthwhile
 */
export function estimateNetSaving(
  cost: ChangeCost,
  skewNow: number,
  skewNext: number,
  moves: number,
  lifetimeSeconds: number,
): number {
  const stepTimeNow = 1 - cost.expertShare + cost.expertShare * skewNow;
  const savedShare = (cost.expertShare * (skewNow - skewNext)) / stepTimeNow;
  const loadSeconds = (moves * cost.bytesPerCopy) / cost.weightBytesPerSecond;
  // The new map saves time only after its weights are loaded.
  const useSeconds = Math.max(0, lifetimeSeconds - loadSeconds);
  return savedShare * useSeconds - loadSeconds * cost.lossPerLoadSecond - cost.stallSeconds;
}
