import { z } from 'zod';

/** The incarnation number of a target; increases with every start of the target or its agent. */
export const Incarnation = z.number().int().nonnegative().brand<'Incarnation'>();

export type Incarnation = z.infer<typeof Incarnation>;
