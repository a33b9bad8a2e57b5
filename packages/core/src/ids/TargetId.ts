import { z } from 'zod';

/** The name of a target within its service. */
export const TargetId = z.string().min(1).max(200).brand<'TargetId'>();

export type TargetId = z.infer<typeof TargetId>;
