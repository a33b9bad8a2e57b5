import { z } from 'zod';
import { ExpertMap } from '../experts/ExpertMap.js';
import { Epoch } from '../ids/Epoch.js';

/** Request of the planner to load the weights of a map while the current one remains in use. */
export const PrepareRequest = z.object({ epoch: Epoch, map: ExpertMap });

export type PrepareRequest = z.infer<typeof PrepareRequest>;
