import type { LayerPlacement } from './LayerPlacement.js';

/** A placement found by a search, with its cost. */
export interface PlacementCandidate {
  readonly layer: LayerPlacement;
  /** Load of the slowest rank / mean rank. */
  readonly skew: number;
  /** Copies to load relative to the active placement. */
  readonly moves: number;
}
