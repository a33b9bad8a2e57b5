/** Shape of a group of four ranks whose maps are loaded within a few passes. */
export const smallGroup = {
  ranks: 4,
  sets: 2,
  experts: 16,
  slotsPerRank: 7,
  otherTargets: 0,
  entries: 1,
  agentBitsPerSecond: 14_000_000,
  entryBitsPerSecond: 700_000_000,
  evenPassMs: 30,
  copyMs: 37,
};
