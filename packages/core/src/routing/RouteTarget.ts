import type { InstanceRecord } from '../membership/InstanceRecord.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';

/** A target of a service, as described by the service document and the instance list. */
export interface RouteTarget {
  readonly id: TargetId;
  readonly zone: Zone;
  /** Name of the lock-step group; null for a target outside any group. */
  readonly group: string | null;
  /** Rank in the group, from 0; null for a target outside any group. */
  readonly rank: number | null;
  /** State in the instance list. The list lags; load reports are more recent. */
  readonly state: InstanceRecord['state'];
}
