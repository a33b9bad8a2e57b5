/** The design size of `docs/design.md` and what is assumed where that page gives no figure. */
export const designSize = {
  entries: 410,
  workers: 2300,
  accelerators: 4500,
  requestsPerSecond: 4100,
  tokensPerSecond: 1_400_000,
  stepMs: 57,
  firstTokenMs: 660,
  ranks: 256,
  experts: 128,
  workspaces: 21_000,
  models: 8,
  zones: 8,
  changesPerDay: 3500,
  restartsPerDay: 140,
  failuresPerDay: 16,
  /** Limits of control overhead for a node. */
  corePercent: 2.1,
  memoryBytes: 256e6,
  bytesPerSecond: 14e3,
  /** Several hundred writes a second; the lowest reading of it is used. */
  storeWrites: 300,
  storeReads: 2000,
  /** Assumed: keyed requests, as 2.5% of all, and the agents that take them. */
  keyedPerSecond: 100,
  plainAgents: 60,
  /** Assumed: services beside the models. */
  services: 12,
  /** Assumed: layers of a model with experts, as in the bench `skew`. */
  layers: 58,
  /** Assumed: time for which an attempt may be remembered after the deadline, both documented. */
  rememberedSeconds: 990,
  /** Mean followers of a relay, `FOLLOWERS_PER_RELAY`, and relays that watch in a zone. */
  followersPerRelay: 16,
  relaysPerZone: 3,
  linksPerFollower: 2,
  /** Least time without a frame before a progress frame, `progress_ms`. */
  progressMs: 500,
  /** Subset of the router, and the pings of its channels with their packet headers. */
  channelsPerEntry: 32,
  pingBytes: 142,
  pingSeconds: 4,
  /** Assumed: headers of a conditional read of the list and of its answer `304`. */
  listCheckBytes: 500,
  /** Mean time between two reads of the instance list by one reader. */
  listIntervalSeconds: 1.5,
  /** HTTP/2 frame and gRPC message headers, TCP and IP headers; sent alone in a packet. */
  packetBytes: 54,
} as const;
