import { z } from 'zod';

/** Answer of an agent that is asked for the experts of its rank. */
export const HeldReply = z.object({
  version: z.number().int().nonnegative(),
  /** Experts by set. */
  sets: z.array(z.array(z.number().int().nonnegative())),
});

export type HeldReply = z.infer<typeof HeldReply>;
