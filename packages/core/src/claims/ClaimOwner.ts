import { z } from 'zod';
import { Incarnation } from '../ids/Incarnation.js';
import { InstanceId } from '../ids/InstanceId.js';

/** The agent, and its incarnation, that holds a claim. */
export const ClaimOwner = z.object({ instance: InstanceId, incarnation: Incarnation });

export type ClaimOwner = z.infer<typeof ClaimOwner>;
