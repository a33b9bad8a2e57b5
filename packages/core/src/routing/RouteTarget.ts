import type { InstanceRecord } from '../membership/InstanceRecord.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';

/** One target of a service, as the document and the instance list describe it. */
export interface RouteTarget {
  readonly id: TargetId;
  readonly zone: Zone;
  /** Name of the lock-step group; null for a target that works alone. */
  readonly group: string | null;
  /** Position in the group, from 0; null for a target that works alone. */
  readonly rank: number | null;
  /** State in the instance list, which lags; load reports are newer. */
  readonly state: InstanceRecord['state'];
}
