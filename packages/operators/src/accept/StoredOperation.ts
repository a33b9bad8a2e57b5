import { z } from 'zod';

/** The part of a stored document that settles an accept whose answer was lost. */
export const StoredOperation = z.object({
  operationId: z.string(),
  /** Accepts before this one, latest first: an accept may be replaced before it is settled. */
  earlierOperations: z.array(z.string()).default([]),
});

export type StoredOperation = z.infer<typeof StoredOperation>;
