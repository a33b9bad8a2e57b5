import { z } from 'zod';

/** The number of one life of a target; grows with every start of the target or its agent. */
export const Incarnation = z.number().int().nonnegative().brand<'Incarnation'>();

export type Incarnation = z.infer<typeof Incarnation>;
