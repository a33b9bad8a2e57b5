import { z } from 'zod';
import { RankStatus } from '@limpetbay/core';

/** Answer of an agent to `POST /order`. */
export const OrderReply = z.object({
  answer: z.enum(['done', 'refused', 'lost']),
  /** Status of the rank after the order; null if it could not be read. */
  status: RankStatus.nullable(),
});

export type OrderReply = z.infer<typeof OrderReply>;
