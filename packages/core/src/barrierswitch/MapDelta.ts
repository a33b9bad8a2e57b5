/** One copy of an expert: layer set, rank and expert. */
type Copy = readonly [set: number, rank: number, expert: number];

/** Difference between two expert maps. */
export interface MapDelta {
  readonly added: readonly Copy[];
  readonly removed: readonly Copy[];
}
