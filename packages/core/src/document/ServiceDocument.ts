import { z } from 'zod';
import { ServiceName } from '../ids/ServiceName.js';
import { TargetId } from '../ids/TargetId.js';
import { Zone } from '../ids/Zone.js';
import { RouteRule } from './RouteRule.js';

/** A parsed service document: the configuration that operators accept and all processes apply. */
export const ServiceDocument = z.strictObject({
  service: z.strictObject({
    name: ServiceName,
    kind: z.enum(['model', 'plain']),
    isolation: z.enum(['refuse', 'serve']).default('refuse'),
  }),
  zones: z.strictObject({
    in: z.array(Zone).default([]),
    out: z.array(Zone).default([]),
  }),
  targets: z.strictObject({
    /** Target names, or patterns with `*`. */
    include: z.array(z.string().min(1)).min(1),
    exclude: z.array(z.string().min(1)).default([]),
    /** Whether the targets themselves refuse orders with an outdated fencing number. */
    fencing: z.enum(['checked', 'ignored']).default('ignored'),
  }),
  groups: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        /** Target names, indexed by rank. */
        ranks: z.array(TargetId).min(1).max(4096),
      }),
    )
    .default([]),
  ramp: z.strictObject({
    /** Limit of requests in flight for a cold target. */
    start: z.number().int().min(1).max(1000).default(1),
    /** Maximum growth factor of the limit per interval. */
    growth: z.number().min(1.01).max(4).default(1.5),
    intervalMs: z.number().int().min(10).max(600_000).default(1000),
  }),
  limits: z.strictObject({
    maxInFlight: z.number().int().min(1).max(10_000).default(64),
    queue: z.number().int().min(0).max(100_000).default(128),
    deadlineMs: z.number().int().min(1).max(3_600_000).default(30_000),
    bodyBytes: z.number().int().min(1).max(67_108_864).default(1_048_576),
  }),
  routes: z.array(RouteRule).default([]),
  keys: z.strictObject({
    retentionHours: z.number().int().min(1).max(720).default(24),
  }),
});

export type ServiceDocument = z.infer<typeof ServiceDocument>;
