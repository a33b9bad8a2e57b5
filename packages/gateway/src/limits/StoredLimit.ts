import { z } from 'zod';
import { Quantity } from '@limpetbay/core';

/** The limit of a target, as entries store it for those that start later. */
export const StoredLimit = z.object({
  targetId: z.string().min(1),
  /** Requests a second from all entries together. */
  perSecond: Quantity,
});

export type StoredLimit = z.infer<typeof StoredLimit>;
