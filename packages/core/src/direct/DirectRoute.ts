import { z } from 'zod';

/** A route from a host and path prefix to the services that run its requests. */
export const DirectRoute = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  /** `safe` requests may run more than once, `unsafe` ones at most once. */
  kind: z.enum(['safe', 'unsafe', 'stream']),
  /** Most targets to which one request is sent. */
  maxAttempts: z.number().int().positive(),
  /** Longest time that a caller is kept waiting, milliseconds. */
  timeoutMs: z.number().positive(),
  /** Latency objective until the complete answer, or the first event of a stream, milliseconds. */
  objectiveMs: z.number().positive(),
  /** Longest pause between two events that still meets the objective, milliseconds. */
  gapMs: z.number().positive().nullable(),
  /** Idle timeout of callers: they abandon a stream without an event for this long, milliseconds. */
  patienceMs: z.number().positive(),
  /** 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Whether requests need no API key. */
  isPublic: z.boolean(),
  /** Whether a broken stream may be resumed at another target. */
  isResumable: z.boolean(),
  /** Services and their weights, which need not add up to 1. */
  services: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })).min(1),
});

export type DirectRoute = z.infer<typeof DirectRoute>;
