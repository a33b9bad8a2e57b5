import type { PlacementChoice } from '../experts/PlacementChoice.js';
import type { MapRecord } from './MapRecord.js';

/** Receives a planner's decisions, for example to log them. */
export interface PlannerListener {
  /** Called when a placement is chosen or kept. @param layer index in the map */
  onChoice(layer: number, choice: PlacementChoice): void;
  /** Called when a switch is committed or aborted. */
  onDecision(record: MapRecord): void;
}
