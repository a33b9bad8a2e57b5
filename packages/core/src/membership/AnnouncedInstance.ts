import { z } from 'zod';
import { Counter } from '../schema/Counter.js';
import { InstanceRecord } from './InstanceRecord.js';

/** An instance record from the platform's list or from an announcement of the instance itself. */
export const AnnouncedInstance = z.object({
  record: InstanceRecord,
  /**
   * Sequence number of the instance's announcement. It increases with each announcement, also
   * across restarts. 0 if the record comes from the platform's list.
   */
  sequence: Counter,
});

export type AnnouncedInstance = z.infer<typeof AnnouncedInstance>;
