import { z } from 'zod';

/** The name of an availability zone. */
export const Zone = z.string().min(1).max(200).brand<'Zone'>();

export type Zone = z.infer<typeof Zone>;
