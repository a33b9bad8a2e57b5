import { z } from 'zod';
import { RankOrder } from '@limpetbay/core';

/** Body of `POST /order`: an order of the planner for the rank that an agent serves. */
export const AgentCall = z.object({ order: RankOrder, epoch: z.number().int() });

export type AgentCall = z.infer<typeof AgentCall>;
