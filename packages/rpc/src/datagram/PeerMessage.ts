import { z } from 'zod';
import { GroupReport, RankOrder, RankStatus } from '@limpetbay/core';

/** A datagram between processes. All may be lost; each replaces the one before it. */
export const PeerMessage = z.discriminatedUnion('kind', [
  /** Status of the rank beside the sender. */
  z.object({
    kind: z.literal('status'),
    status: RankStatus,
    /** Whether the sender plans the maps of its group at the moment. */
    isPlanning: z.boolean(),
  }),
  /** Choices of experts at the sender's rank since its last message of this kind. */
  z.object({
    kind: z.literal('counts'),
    group: z.string(),
    epoch: z.number().int(),
    rank: z.number().int().nonnegative(),
    /** Choices that one unit of `units` stands for. */
    scale: z.number().positive(),
    /** Base64 of unsigned 16-bit numbers, low byte first, set after set. */
    units: z.string(),
  }),
  /** Order of a planner to the rank beside the receiver; `id` returns in the answer. */
  z.object({
    kind: z.literal('order'),
    id: z.number().int(),
    epoch: z.number().int(),
    order: RankOrder,
  }),
  z.object({
    kind: z.literal('answer'),
    id: z.number().int(),
    answer: z.enum(['done', 'refused', 'lost']),
  }),
  /** Loads of the ranks of one group, from its planner. */
  z.object({ kind: z.literal('load'), report: GroupReport }),
  /** The sender wants load messages for the next seconds. */
  z.object({ kind: z.literal('subscribe') }),
]);

export type PeerMessage = z.infer<typeof PeerMessage>;
