import { z } from 'zod';

/** The name of an instance in the platform's list. */
export const InstanceId = z.string().min(1).max(200).brand<'InstanceId'>();

export type InstanceId = z.infer<typeof InstanceId>;
