import { z } from 'zod';
import { TargetCheck } from './TargetCheck.js';

/** What would happen now to a request at one service of its route. */
const ServiceExplanation = z.object({
  name: z.string(),
  /** Fraction of the requests of the route that go to the service. */
  share: z.number(),
  /** `send`, `wait` until a target can start it, or `refuse`. */
  outcome: z.enum(['send', 'wait', 'refuse']),
  reason: z.string(),
  /** Ids of the targets that may get the request, least loaded first. */
  candidates: z.array(z.string()),
  /** Wait after which the request is refused, milliseconds; 0 if it does not wait. */
  longestWaitMs: z.number(),
  /** When a target is expected to take requests again, milliseconds; null where unknown. */
  expectedWaitMs: z.number().nullable(),
  /** Middle of the range from which `Retry-After` is drawn, milliseconds; null if not refused. */
  retryAfterMs: z.number().nullable(),
  targets: z.array(TargetCheck),
});

/** Where a request would go now, and why. */
export const RouteExplanation = z.object({
  /** The worst outcome of the services between which the route chooses at random. */
  outcome: z.enum(['send', 'wait', 'refuse']),
  /** Error kind and cause of a refusal before a service is chosen; null otherwise. */
  refusal: z.object({ kind: z.string(), message: z.string() }).nullable(),
  /** Version of the active configuration; null before the first. */
  config: z.number().nullable(),
  route: z.object({ name: z.string(), kind: z.string(), prefix: z.string() }).nullable(),
  workspace: z.string().nullable(),
  /** 0 is the most urgent; null where no route was found. */
  priority: z.number().nullable(),
  /** Requests that wait at this entry. */
  waiting: z.number(),
  services: z.array(ServiceExplanation),
});

export type RouteExplanation = z.infer<typeof RouteExplanation>;
