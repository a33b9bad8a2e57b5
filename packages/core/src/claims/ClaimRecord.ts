import { z } from 'zod';
import { Header } from '../answer/Header.js';
import { ClaimOwner } from './ClaimOwner.js';

const common = {
  operationId: z.string(),
  bodyHash: z.string(),
  attemptId: z.string(),
  owner: ClaimOwner,
  /** Wall time of the claim, Unix milliseconds. */
  claimedWallMs: z.number(),
};

/**
 * The value of a claim key. `claimed`: the request may be running until `deadlineWallMs` (Unix
 * milliseconds). `stored`: it ran, and the record holds its answer. `omitted`: it ran, and its
 * answer is too large to store. `unknown`: it may have run. `released`: it was not dispatched, and
 * the key may be claimed again.
 */
export const ClaimRecord = z.discriminatedUnion('state', [
  z.object({ state: z.literal('claimed'), ...common, deadlineWallMs: z.number() }),
  z.object({
    state: z.literal('stored'),
    ...common,
    status: z.number().int(),
    headers: z.array(Header),
    /** Base64. */
    body: z.string(),
  }),
  z.object({
    state: z.literal('omitted'),
    ...common,
    status: z.number().int(),
    bodyBytes: z.number().int(),
  }),
  z.object({ state: z.literal('unknown'), ...common }),
  z.object({ state: z.literal('released'), ...common }),
]);

export type ClaimRecord = z.infer<typeof ClaimRecord>;
