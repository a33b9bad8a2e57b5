import { z } from 'zod';
import { InstanceRecord } from './InstanceRecord.js';

/** An instance as a process knows it: from the list, or from the instance itself. */
export const AnnouncedInstance = z.object({
  record: InstanceRecord,
  /**
   * Number of the instance's own statement; grows with each, also over its restarts. 0 stands for
   * the platform's list alone.
   */
  sequence: z.number().int().nonnegative(),
});

export type AnnouncedInstance = z.infer<typeof AnnouncedInstance>;
