import { z } from 'zod';

/** Settings of a `Router`. Every value has a default; times are milliseconds. */
export const RouterSettings = z.object({
  /**
   * Targets per service that an entry uses, before the coverage and zone minimums apply. With fewer
   * targets, an entry gets a load report from each of them more often; with too few, an entry that
   * has more callers than the others overloads its targets.
   */
  subsetSize: z.number().int().min(1).default(32),
  /** Minimum entries that use each target if the entries are known, so that no target is unused. */
  minEntriesPerTarget: z.number().int().min(1).default(3),
  /** Minimum targets used in each zone, or all if the zone has fewer. */
  minTargetsPerZone: z.number().int().min(1).default(4),
  /** Age at which a load report has lost 63% of its weight relative to the mean of the peers. */
  reportDecayMs: z.number().positive().default(2500),
  /**
   * Assumed growth factor of a ramping target's limit per interval; as `[ramp]` in the document.
   */
  rampGrowth: z.number().min(1).default(1.5),
  rampIntervalMs: z.number().positive().default(1000),
  /**
   * Delay until a dispatched request shows in load reports; until then the entry adds it itself.
   */
  reportLagMs: z.number().nonnegative().default(300),
  /** Maximum time for which sampling weights and means are reused. */
  refreshMs: z.number().positive().default(50),
  /**
   * Excess over the group's mean load, as a share of it, up to which a target with a cached prefix
   * is preferred.
   */
  affinitySkew: z.number().nonnegative().default(0.1),
  /** Cost of one prompt token that must be prefilled, in tokens of running context. */
  prefillWeight: z.number().nonnegative().default(1),
  /**
   * Load of one prompt token that waits for prefill, in tokens of running context. It delays first
   * tokens and lengthens the next steps, so it counts more than a token of running context.
   */
  queuedPromptWeight: z.number().nonnegative().default(3),
  /** Prefill time per prompt token; used to estimate the wait behind queued prompts. */
  prefillMsPerToken: z.number().positive().default(0.1),
  /** Round-trip time to another zone, added to the score of its targets. */
  otherZoneMs: z.number().nonnegative().default(2),
  /** Maximum prefix hashes kept per target. */
  hintsPerTarget: z.number().int().min(1).default(4096),
  /** Consecutive failures that open a target's circuit breaker. */
  failuresToOpen: z.number().int().min(1).default(2),
  /** Initial pause before a probe of an open breaker; doubles with each failed probe. */
  openMs: z.number().positive().default(1000),
  /** Maximum pause before a probe of an open breaker. */
  openMaxMs: z.number().positive().default(10_000),
  /** Time after which a probe without a result no longer blocks the next one. */
  probeTimeoutMs: z.number().positive().default(5000),
  /** Minimum time between two probes of one service. */
  probeSpacingMs: z.number().nonnegative().default(20),
  /** Time in which the weight of a recovered target or zone grows to 1. */
  recoverMs: z.number().positive().default(5000),
  /**
   * Time without a frame after which a target with work in progress gets no new work. Agents send
   * `Progress` every 1000 ms, so after 1500 ms one is missing.
   */
  suspectMs: z.number().positive().default(1500),
});

export type RouterSettings = z.infer<typeof RouterSettings>;
