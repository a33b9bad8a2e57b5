import { z } from 'zod';
import { OrderAnswer, RankStatus } from '@limpetbay/core';

/** Answer of an agent to `POST /order`. */
export const OrderReply = z.object({
  answer: OrderAnswer,
  /** Status of the rank after the order; null if it could not be read. */
  status: RankStatus.nullable(),
});

export type OrderReply = z.infer<typeof OrderReply>;
