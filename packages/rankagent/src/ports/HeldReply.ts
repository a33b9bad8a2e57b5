import { z } from 'zod';
import { Counter, ExpertList, numericBounds } from '@limpetbay/core';

/** Answer of an agent to `GET /held`: the experts that its rank holds. */
export const HeldReply = z.object({
  /** Version of the expert map. */
  version: Counter,
  /** Expert numbers by set. */
  sets: z.array(ExpertList).max(numericBounds.expertSets),
});

export type HeldReply = z.infer<typeof HeldReply>;
