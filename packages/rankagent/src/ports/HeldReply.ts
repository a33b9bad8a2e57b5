import { z } from 'zod';

/** Answer of an agent to `GET /held`: the experts that its rank holds. */
export const HeldReply = z.object({
  /** Version of the expert map. */
  version: z.number().int().nonnegative(),
  /** Expert numbers by set. */
  sets: z.array(z.array(z.number().int().nonnegative())),
});

export type HeldReply = z.infer<typeof HeldReply>;
