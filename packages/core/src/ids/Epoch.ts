import type { z } from 'zod';
import { Counter } from '../schema/Counter.js';

/** The fencing number of a lease holder; increases with every new holder. */
export const Epoch = Counter.brand<'Epoch'>();

export type Epoch = z.infer<typeof Epoch>;
