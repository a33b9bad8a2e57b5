import { z } from 'zod';
import { Counter, RankOrder } from '@limpetbay/core';

/** Body of `POST /order`: an order of the planner for the rank that an agent serves. */
export const OrderRequest = z.object({ order: RankOrder, epoch: Counter });

export type OrderRequest = z.infer<typeof OrderRequest>;
