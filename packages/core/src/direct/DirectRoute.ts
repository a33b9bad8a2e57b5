import { z } from 'zod';

/** A route from a host and path prefix to the services that run its requests. */
export const DirectRoute = z.object({
  name: z.string(),
  host: z.string(),
  /** Begins and ends with a slash. */
  prefix: z.string(),
  /** `safe` requests may run more than once, `unsafe` ones at most once. */
  kind: z.enum(['safe', 'unsafe', 'stream']),
  /** Targets to which one request is sent at most. */
  maxAttempts: z.number().int().positive(),
  /** Longest time that a caller is kept waiting, milliseconds. */
  timeoutMs: z.number().positive(),
  /** Latency objective: up to the whole answer, for streams up to the first event, milliseconds. */
  objectiveMs: z.number().positive(),
  /** Longest pause between two events that still meets the objective, milliseconds. */
  gapMs: z.number().positive().nullable(),
  /** Callers leave a stream that has been silent for this long, milliseconds. */
  patienceMs: z.number().positive(),
  /** 0 is the most urgent. */
  priority: z.number().int().nonnegative(),
  /** Whether requests need no API key. */
  isPublic: z.boolean(),
  /** Whether a broken stream may go on at another target. */
  isResumable: z.boolean(),
  /** Services by weight; weights need not add up to anything. */
  services: z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })).min(1),
});

export type DirectRoute = z.infer<typeof DirectRoute>;
