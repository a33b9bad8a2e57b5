import type { Revision } from '../ids/Revision.js';
import type { MapRecord } from './MapRecord.js';
import type { PrepareRequest } from './PrepareRequest.js';

/** An action that a `MapSwitchPlanner` requests. */
export type PlannerAction =
  | { readonly kind: 'prepare'; readonly rank: number; readonly request: PrepareRequest }
  | { readonly kind: 'promise'; readonly rank: number; readonly record: MapRecord }
  /** Send the decided record to a rank. */
  | { readonly kind: 'tell'; readonly rank: number; readonly record: MapRecord }
  /** Read the map record from the store. */
  | { readonly kind: 'read' }
  /**
   * Write the map record, on condition that its stored revision is `mapRevision` and that of the
   * planner record is `plannerRevision`.
   */
  | {
      readonly kind: 'write';
      readonly record: MapRecord;
      readonly mapRevision: Revision;
      readonly plannerRevision: Revision;
    };
