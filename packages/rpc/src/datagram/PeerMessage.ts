import { z } from 'zod';
import {
  Address,
  Counter,
  DurationMs,
  Era,
  GroupReport,
  MapOrder,
  OrderAnswer,
  Quantity,
  RankNumber,
  RankOrder,
  RankPace,
  RankStatus,
  Revision,
  TargetEnd,
  numericBounds,
} from '@limpetbay/core';
import { StatusRow } from './StatusRow.js';

/** More entries than this are told over several agents. */
const MAX_LOAD_RECEIVERS = 64;

/** More agents than report for a group, and may soon. */
const MAX_REPORTERS = 8;

/** Agents from which entries should request the loads of a group, the planner first. */
const Reporters = z.array(Address).max(MAX_REPORTERS).default([]);

/**
 * Positions in `ranks` and paces of the ranks that are slower than ordinary ones. An invalid list is
 * ignored, because the loads are still needed.
 */
const Paces = z
  .array(z.tuple([RankNumber, RankPace]))
  .max(numericBounds.ranks)
  .optional()
  .catch(undefined);

/** A datagram between processes. Any may be lost; a later one supersedes the earlier ones. */
export const PeerMessage = z.discriminatedUnion('kind', [
  /** Status of the rank that the sender manages. */
  z.object({
    kind: z.literal('status'),
    /** A row of values; builds before it send the object. */
    status: StatusRow.or(RankStatus),
    /** Whether the sender is currently the planner of its group. */
    isPlanning: z.boolean(),
    /** Whether the sender looks for other agents of its group and wants their statuses. */
    isIncomplete: z.boolean().default(false),
    /** Whether it also wants to be told which agents the receiver knows. */
    wantsMembers: z.boolean().default(false),
  }),
  /** Agents of the receiver's group that the sender knows; answers a status that wants them. */
  z.object({
    kind: z.literal('members'),
    group: z.string(),
    agents: z.array(Address).max(numericBounds.ranks),
  }),
  /** The sender plans for its group; sent more often than its status, which is longer. */
  z.object({ kind: z.literal('planning'), group: z.string(), rank: RankNumber }),
  /** Number of times each expert was chosen at the sender's rank since its last `counts` message. */
  z.object({
    kind: z.literal('counts'),
    group: z.string(),
    epoch: Counter,
    rank: RankNumber,
    /** Number of choices that one unit in `units` represents. */
    scale: Quantity.positive(),
    /** Base64 of one byte per count, one set after another. */
    units: z.string(),
  }),
  /** Order of a planner for the rank that the receiver manages; the answer repeats `id`. */
  z.object({
    kind: z.literal('order'),
    id: Counter,
    epoch: Counter,
    order: RankOrder,
  }),
  /** Like `order`, to prepare a map that is described by its difference from an earlier one. */
  z.object({
    kind: z.literal('map_order'),
    id: Counter,
    epoch: Counter,
    order: MapOrder,
    /** Agent that the answer goes to; the sender if absent. */
    replyTo: Address.optional(),
  }),
  /**
   * Map orders for several agents. The first receiver is the one that gets this message; it sends
   * each of the others its order.
   */
  z.object({
    kind: z.literal('map_relay'),
    epoch: Counter,
    order: MapOrder,
    receivers: z.array(z.object({ id: Counter, agent: Address })).max(numericBounds.ranks),
  }),
  /** Asks the agent of the rank that holds pass `step` to arm the rank of the sending planner. */
  z.object({
    kind: z.literal('planner_arm'),
    id: Counter,
    epoch: Counter,
    version: Counter,
    step: Counter,
    rankAddress: Address,
  }),
  z.object({
    kind: z.literal('answer'),
    id: Counter,
    /** `unknown_base`: the receiver cannot derive the map and needs the whole one. */
    answer: OrderAnswer.or(z.literal('unknown_base')),
  }),
  /** Loads of the ranks of one group, sent by its planner. */
  z.object({
    kind: z.literal('load'),
    report: GroupReport.omit({ ranks: true }),
    /** Loads of the ranks, as `encodeLoads` encodes them. */
    ranks: z.string(),
    paces: Paces,
    reporters: Reporters,
  }),
  /** A load message of a planner that the receiver forwards to entries. */
  z.object({
    kind: z.literal('load_relay'),
    report: GroupReport.omit({ ranks: true }),
    ranks: z.string(),
    paces: Paces,
    reporters: Reporters,
    /** Addresses of the entries. */
    receivers: z.array(Address).max(MAX_LOAD_RECEIVERS),
  }),
  /** Requests load messages for the next few seconds. */
  z.object({ kind: z.literal('subscribe') }),
  /** Position up to which the sender has received the changes of the store. */
  z.object({ kind: z.literal('store_position'), era: Era, revision: Revision }),
  /** A target ended while requests with these suspects waited for their answers. */
  z.object({ kind: z.literal('target_end'), end: TargetEnd, suspects: z.array(z.string()) }),
  /** Answers on requests with these suspects began, so that they end no targets. */
  z.object({
    kind: z.literal('suspects_sound'),
    suspects: z.array(z.string()),
    /** Whether the answers were complete; false for answers that began. */
    isComplete: z.boolean().default(false),
  }),
  /** A target names another limit than before; null where it has lifted it. */
  z.object({
    kind: z.literal('target_limit'),
    /** Id and start of the target. */
    target: z.string(),
    targetId: z.string(),
    /** Requests a second from all entries together. */
    perSecond: Quantity.nullable(),
  }),
  /** Asks the receiver for one request out of a rate that it keeps; the answer repeats `id`. */
  z.object({
    kind: z.literal('rate_request'),
    id: Counter,
    /** Name of the rate. */
    key: z.string(),
    perSecond: Quantity,
  }),
  z.object({
    kind: z.literal('rate_answer'),
    id: Counter,
    isGranted: z.boolean(),
    retryAfterMs: DurationMs,
  }),
]);

export type PeerMessage = z.infer<typeof PeerMessage>;
