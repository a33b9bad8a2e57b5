import type { Incarnation } from '../ids/Incarnation.js';
import type { ServiceName } from '../ids/ServiceName.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';

/** The target chosen for one attempt. */
export interface RouteDecision {
  readonly service: ServiceName;
  readonly target: TargetId;
  readonly zone: Zone;
  /** Incarnation of the target's last load report; 0 if none was received. */
  readonly incarnation: Incarnation;
  /** Whether the attempt probes a target or zone that failed or refused work before. */
  readonly probe: boolean;
  /** Why the target was chosen, for the log. */
  readonly reason: string;
  /** Scores in milliseconds, lower is better; includes the chosen target. */
  readonly candidates: readonly { readonly target: TargetId; readonly scoreMs: number }[];
}
