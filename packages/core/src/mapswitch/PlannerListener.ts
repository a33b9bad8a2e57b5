import type { PlacementChoice } from '../experts/PlacementChoice.js';
import type { MapRecord } from './MapRecord.js';

/** Hears what a planner decides, for its log. */
export interface PlannerListener {
  /** A placement was chosen or kept. @param layer index in the map */
  acceptChoice(layer: number, choice: PlacementChoice): void;
  /** A switch was decided. */
  acceptDecision(record: MapRecord): void;
}
