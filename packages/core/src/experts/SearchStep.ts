import type { LayerPlacement } from './LayerPlacement.js';

/** A placement that a search passed through. */
export interface SearchStep {
  readonly layer: LayerPlacement;
  /** Slowest rank / mean rank. */
  readonly skew: number;
  /** Copies to load from the placement in force. */
  readonly moves: number;
}
