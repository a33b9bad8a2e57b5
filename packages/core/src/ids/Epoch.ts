import { z } from 'zod';

/** The fencing number of a lease holder; increases with every new holder. */
export const Epoch = z.number().int().nonnegative().brand<'Epoch'>();

export type Epoch = z.infer<typeof Epoch>;
