import { z } from 'zod';
import { ExpertMap } from '../experts/ExpertMap.js';
import { Epoch } from '../ids/Epoch.js';

/** The planner asks a rank to load the weights of a map beside the running one. */
export const PrepareRequest = z.object({ epoch: Epoch, map: ExpertMap });

export type PrepareRequest = z.infer<typeof PrepareRequest>;
