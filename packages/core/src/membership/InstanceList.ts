import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import type { InstanceRecord } from './InstanceRecord.js';

/** The platform's list of live and leaving instances. The list lags, so it is only a hint. */
export interface InstanceList {
  /** Reads the whole list; fails with `store_unavailable`, which has no side effects. */
  fetchInstances(): Promise<Result<InstanceRecord[], Failure>>;
}
