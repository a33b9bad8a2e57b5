import type { LayerPlacement } from './LayerPlacement.js';

/** The placement chosen for a layer, with the predicted effect for the log. */
export interface PlacementChoice {
  /** Placement to switch to; null to keep the current one. */
  readonly next: LayerPlacement | null;
  /** Load of the slowest rank / mean rank, with the current and the chosen placement. */
  readonly skewNow: number;
  readonly skewNext: number;
  /** Copies that ranks must load. */
  readonly moves: number;
  /** Group-seconds saved less group-seconds spent on the change. */
  readonly netSavingSeconds: number;
  readonly reason: 'balanced' | 'recent' | 'small_gain' | 'not_worthwhile' | 'change';
}
