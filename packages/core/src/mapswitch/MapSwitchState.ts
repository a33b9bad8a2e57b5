import type { ExpertMap } from '../experts/ExpertMap.js';
import type { Revision } from '../ids/Revision.js';
import type { MapRecord } from './MapRecord.js';
import type { PrepareReply } from './PrepareReply.js';

/** The state of a `MapSwitchPlanner`. */
export interface MapSwitchState {
  /** `unread`: the stored record is unknown. `writing`: the outcome of a write is unknown. */
  readonly phase: 'unread' | 'idle' | 'preparing' | 'writing' | 'promising';
  /** The stored record, as last read or written, and its revision. */
  readonly record: MapRecord | null;
  readonly revision: Revision;
  /** Highest proposed version; versions of cancelled proposals are not reused. */
  readonly lastProposedVersion: number;
  readonly proposedMap: ExpertMap | null;
  /** Replies of ranks whose weights are loaded; null for the others. */
  readonly prepareReplies: readonly (PrepareReply | null)[];
  /** Whether each rank has promised the pending record. */
  readonly promised: readonly boolean[];
  /** Record of the write whose outcome is unknown. */
  readonly write: MapRecord | null;
}
