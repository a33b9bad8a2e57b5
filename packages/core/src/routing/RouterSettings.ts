import { z } from 'zod';

/** Settings of a `Router`. Every value has a default; times are milliseconds. */
export const RouterSettings = z.object({
  /**
   * Targets per service that an entry aims to use, before coverage and zone minimums. The fewer
   * targets an entry uses, the more often it hears from each; with too few, an entry with more
   * callers than the others overloads its own targets.
   */
  subsetSize: z.number().int().min(1).default(32),
  /** Entries that keep each target where the entries are known, so that none is left unused. */
  minEntriesPerTarget: z.number().int().min(1).default(3),
  /** Targets kept in each zone (or all, where it has fewer). */
  minTargetsPerZone: z.number().int().min(1).default(4),
  /** Age at which a load report has lost 63% of its weight against the mean of its peers. */
  reportDecayMs: z.number().positive().default(2500),
  /** Growth per interval that a ramping target is expected to reach; as in the document's `[ramp]`. */
  rampGrowth: z.number().min(1).default(1.5),
  rampIntervalMs: z.number().positive().default(1000),
  /** Time until a send shows in load reports; until then the entry adds it itself. */
  reportLagMs: z.number().nonnegative().default(300),
  /** Longest time for which sampling weights and means are reused. */
  refreshMs: z.number().positive().default(50),
  /** Load above the group's mean, as a share of it, up to which a cached prefix may attract. */
  affinitySkew: z.number().nonnegative().default(0.1),
  /** Cost of one prompt token that must be computed, in tokens of running context. */
  prefillWeight: z.number().nonnegative().default(1),
  /**
   * Load of one prompt token that waits to be computed, in tokens of running context. It delays
   * first tokens and lengthens the next steps, so it counts more than a running one.
   */
  queuedPromptWeight: z.number().nonnegative().default(3),
  /** Time an engine needs for one prompt token; estimates the wait behind queued prompts. */
  prefillMsPerToken: z.number().positive().default(0.1),
  /** Round trip to another zone, added to the score of its targets. */
  otherZoneMs: z.number().nonnegative().default(2),
  /** Prefix hashes remembered per target. */
  hintsPerTarget: z.number().int().min(1).default(4096),
  /** Failures without a success between them that open a target's breaker. */
  failuresToOpen: z.number().int().min(1).default(2),
  /** First pause of an open breaker; doubles with each failed probe. */
  openMs: z.number().positive().default(1000),
  /** Longest pause of an open breaker. */
  openMaxMs: z.number().positive().default(10_000),
  /** Time after which a probe without result no longer blocks the next one. */
  probeTimeoutMs: z.number().positive().default(5000),
  /** Least time between two probes of one service. */
  probeSpacingMs: z.number().nonnegative().default(20),
  /** Time over which a recovered target or zone regains its full weight. */
  recoverMs: z.number().positive().default(5000),
  /**
   * Silence after which a target with work in progress gets no new work. Agents send `Progress`
   * every 1000 ms, so 1500 ms means that one is missing.
   */
  suspectMs: z.number().positive().default(1500),
});

export type RouterSettings = z.infer<typeof RouterSettings>;
