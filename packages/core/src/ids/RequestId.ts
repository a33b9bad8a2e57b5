import { z } from 'zod';

/** The id of a caller's request, unique across all entries. */
export const RequestId = z.string().min(1).max(200).brand<'RequestId'>();

export type RequestId = z.infer<typeof RequestId>;
