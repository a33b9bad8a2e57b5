import type { Epoch } from '../ids/Epoch.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { MapRecord } from './MapRecord.js';

/** The state of a `StepGate`. Kept in memory only; an agent restart loses it. */
export interface StepGateState {
  readonly incarnation: Incarnation;
  /** The next step that the engine runs. */
  readonly engineStep: number;
  /** Last step that this agent process or the previous one may have granted. */
  readonly grantedUntil: number;
  /** Lowest planner epoch whose requests are accepted. */
  readonly minEpoch: Epoch;
  /** Source of the record after the start. Without a record, no step is granted. */
  readonly source: 'none' | 'peers' | 'store';
  /** Newest known record. If `pending`, this rank is bound by a promise. */
  readonly record: MapRecord | null;
  /** Map whose weights are loaded; with the epoch, as two planners may use the same version. */
  readonly loadedWeights: { readonly version: number; readonly epoch: Epoch } | null;
  /** Newest known incarnation by rank. Records that name older ones are refused. */
  readonly newestIncarnations: readonly Incarnation[];
  /** Step durations that the engine waited because its next step could not be granted. */
  readonly stalledSteps: number;
}
