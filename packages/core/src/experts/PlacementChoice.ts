import type { LayerPlacement } from './LayerPlacement.js';

/** The choice for a layer, with the figures for the log line. */
export interface PlacementChoice {
  /** Null to keep the placement. */
  readonly next: LayerPlacement | null;
  readonly skewNow: number;
  readonly skewNext: number;
  readonly moves: number;
  readonly netSavingSeconds: number;
  readonly reason: 'balanced' | 'recent' | 'small_gain' | 'not_worthwhile' | 'change';
}
