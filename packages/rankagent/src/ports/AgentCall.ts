import { z } from 'zod';
import { RankOrder } from '@limpetbay/core';

/** Call of a planner to the agent beside a rank. */
export const AgentCall = z.object({ order: RankOrder, epoch: z.number().int() });

export type AgentCall = z.infer<typeof AgentCall>;
