import type { Incarnation } from '../ids/Incarnation.js';
import type { ServiceName } from '../ids/ServiceName.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';

/** The target chosen for one attempt. */
export interface RouteDecision {
  readonly service: ServiceName;
  readonly target: TargetId;
  readonly zone: Zone;
  /** Incarnation that the entry knows; 0 where it has no report yet. */
  readonly incarnation: Incarnation;
  /** Whether the attempt tests a target or zone that failed before. */
  readonly probe: boolean;
  /** Short sentence for the log line. */
  readonly reason: string;
  /** Scores in milliseconds, lower is better; the chosen target is among them. */
  readonly candidates: readonly { readonly target: TargetId; readonly scoreMs: number }[];
}
