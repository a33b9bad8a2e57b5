import { z } from 'zod';

/** The part of a stored document that shows whether an unanswered accept was written. */
export const StoredOperation = z.object({
  operationId: z.string(),
  /** Ids of earlier accepts, latest first: a later accept may overwrite one that is still unanswered. */
  earlierOperations: z.array(z.string()).default([]),
});

export type StoredOperation = z.infer<typeof StoredOperation>;
