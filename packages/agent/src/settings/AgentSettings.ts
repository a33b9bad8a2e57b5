import { z } from 'zod';
import { InstanceId, ServiceName, TargetId, Zone } from '@limpetbay/core';

/** Settings of `limpetbay-agent`, by section and key of its INI file. */
export const AgentSettings = z.strictObject({
  agent: z.strictObject({
    id: InstanceId,
    zone: Zone,
    /** `IP:PORT` for other limpetbay processes. */
    address: z.string().regex(/^[^:]+:\d{1,5}$/, 'must be IP:PORT'),
    service: ServiceName,
    /** Kind of the target: a rank of a model engine or a plain service. */
    kind: z.enum(['model', 'plain']),
    target: TargetId,
    /** Base URL of the target. */
    target_origin: z.url({ protocol: /^http$/, error: 'must be an http:// URL' }),
  }),
  platform: z.strictObject({
    /** `IP:PORT` of the store. */
    store: z.string().regex(/^[^:]+:\d{1,5}$/, 'must be IP:PORT'),
    /** Base URL of the instance list. */
    instances: z.url({ protocol: /^http$/, error: 'must be an http:// URL' }),
  }),
  log: z
    .strictObject({
      format: z.enum(['text', 'json']).default('text'),
      level: z.enum(['info', 'warn', 'silent']).default('info'),
    })
    .prefault({}),
  timing: z
    .strictObject({
      tick_ms: z.coerce.number().int().min(5).max(1000).default(20),
      progress_ms: z.coerce.number().int().min(100).max(2000).default(1000),
      engine_poll_ms: z.coerce.number().int().min(50).max(10_000).default(500),
      /** Silence of the engine after which its connections are replaced. */
      engine_silence_ms: z.coerce.number().int().min(500).max(60_000).default(3000),
      /** Time for which a leaving agent stays up, so that every entry has learned of it. */
      leave_ms: z.coerce.number().int().min(0).max(600_000).default(3000),
      stop_grace_ms: z.coerce.number().int().min(1000).max(7_200_000).default(600_000),
    })
    .prefault({}),
  claims: z
    .strictObject({
      /** Store writes a second that all agents of the service share. */
      writes_per_second: z.coerce.number().int().min(1).max(1000).default(100),
    })
    .prefault({}),
});

export type AgentSettings = z.infer<typeof AgentSettings>;
