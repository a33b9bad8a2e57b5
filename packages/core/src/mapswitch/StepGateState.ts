import type { Epoch } from '../ids/Epoch.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { MapRecord } from './MapRecord.js';

/** The state of a `StepGate`; all of it is lost when the agent restarts. */
export interface StepGateState {
  readonly incarnation: Incarnation;
  /** The next step that the engine runs. */
  readonly engineStep: number;
  /** Last step that the engine may have been granted, by this agent or the one before it. */
  readonly grantedUntil: number;
  /** Lowest planner epoch that is obeyed. */
  readonly floor: Epoch;
  /** Where the record comes from. Without a record no step is granted. */
  readonly source: 'none' | 'evidence' | 'store';
  /** The newest known record. `pending` means that this rank is bound by a promise. */
  readonly record: MapRecord | null;
  /** Whose weights are loaded beside the running map. Two planners may use one version number. */
  readonly loaded: { readonly version: number; readonly epoch: Epoch } | null;
  /** Newest known incarnation by rank; the pledges of `RankEvidence`. */
  readonly seen: readonly Incarnation[];
  /** Times of a step for which this gate could not grant the engine's next step. */
  readonly stalledSteps: number;
}
