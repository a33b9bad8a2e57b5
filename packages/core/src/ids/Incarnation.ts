import type { z } from 'zod';
import { Counter } from '../schema/Counter.js';

/** The incarnation number of a target; increases with every start of the target or its agent. */
export const Incarnation = Counter.brand<'Incarnation'>();

export type Incarnation = z.infer<typeof Incarnation>;
