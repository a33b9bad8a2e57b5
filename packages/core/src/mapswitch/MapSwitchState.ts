import type { ExpertMap } from '../experts/ExpertMap.js';
import type { Revision } from '../ids/Revision.js';
import type { MapRecord } from './MapRecord.js';
import type { PrepareReply } from './PrepareReply.js';

/** The state of a `MapSwitchPlanner`. */
export interface MapSwitchState {
  /** `unread`: the record in the store is not known. `writing`: a CAS is not settled. */
  readonly phase: 'unread' | 'idle' | 'preparing' | 'writing' | 'promising';
  /** The record in the store, as last read or written. */
  readonly record: MapRecord | null;
  readonly revision: Revision;
  /** Highest version proposed; one that was given up is not used again. */
  readonly lastVersion: number;
  readonly proposal: ExpertMap | null;
  readonly replies: readonly (PrepareReply | null)[];
  readonly promised: readonly boolean[];
  /** The write that is not settled. */
  readonly write: MapRecord | null;
}
