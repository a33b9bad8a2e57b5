import { z } from 'zod';
import { InstanceId, ServiceName, TargetId, Zone } from '@limpetbay/core';
import { AddressSetting, LogSettings, PlatformSettings, UrlSetting } from '@limpetbay/runtime';

/** Settings of `limpetbay-agent`, by section and key of its INI file. */
export const AgentSettings = z.strictObject({
  agent: z.strictObject({
    id: InstanceId,
    zone: Zone,
    /** `IP:PORT` at which other limpetbay processes reach the agent. */
    address: AddressSetting,
    /** Port of `/metrics` and `/healthz` on the same IP; 0 disables both. */
    metrics_port: z.coerce.number().int().min(0).max(65_535).default(0),
    service: ServiceName,
    /** Kind of the target: a rank of a model engine or a plain service. */
    kind: z.enum(['model', 'plain']),
    target: TargetId,
    /** Base URL of the target. */
    target_origin: UrlSetting,
  }),
  platform: PlatformSettings,
  log: LogSettings,
  timing: z
    .strictObject({
      tick_ms: z.coerce.number().int().min(5).max(1000).default(20),
      /** A stream without frames for one to two of these intervals gets a progress frame. */
      progress_ms: z.coerce.number().int().min(100).max(1000).default(500),
      engine_poll_ms: z.coerce.number().int().min(50).max(10_000).default(500),
      /** Time without a load report of the engine after which its connections are replaced. */
      engine_silence_ms: z.coerce.number().int().min(500).max(60_000).default(3000),
      /** Time for which a leaving agent keeps running, so that all entries receive its new state. */
      leave_ms: z.coerce.number().int().min(0).max(600_000).default(3000),
      /** Minimum time that requests in progress get to finish on a stop. */
      stop_grace_ms: z.coerce.number().int().min(1000).max(7_200_000).default(600_000),
    })
    .prefault({}),
  /** Expert maps and step grants of a model engine that runs only granted steps. */
  experts: z
    .strictObject({
      /** Experts of a layer; 0 disables step grants and expert maps. */
      experts: z.coerce.number().int().min(0).max(4096).default(0),
      /** Placements in a map; 1 means one placement that all layers share. */
      layers: z.coerce.number().int().min(1).max(1024).default(1),
      /** Slots on a rank for copies of experts beyond its even share. */
      spare_slots: z.coerce.number().int().min(0).max(64).default(2),
      bytes_per_copy: z.coerce.number().min(1).default(44_000_000),
      weight_bytes_per_second: z.coerce.number().min(1).default(1_000_000_000),
      /** Group-seconds lost per second of loading weights. */
      loss_per_load_second: z.coerce.number().min(0).max(1).default(0.05),
      /** Fraction of the step time that is proportional to the expert load of the slowest rank. */
      expert_share: z.coerce.number().min(0).max(1).default(0.5),
      /** Typical duration of a step, milliseconds. */
      step_ms: z.coerce.number().min(1).max(10_000).default(50),
      /** Number of steps granted ahead of the step that the engine runs. */
      window_steps: z.coerce.number().int().min(2).max(10_000).default(64),
      /** Maximum wait in a map switch for promises and for the decision, milliseconds. */
      patience_ms: z.coerce.number().int().min(100).max(600_000).default(2000),
      load_timeout_ms: z.coerce.number().int().min(1000).max(3_600_000).default(120_000),
      lease_ms: z.coerce.number().int().min(1000).max(600_000).default(10_000),
      tick_ms: z.coerce.number().int().min(10).max(10_000).default(100),
    })
    .prefault({}),
  claims: z
    .strictObject({
      /** Store writes per second, shared by all agents of the service. */
      writes_per_second: z.coerce.number().int().min(1).max(1000).default(100),
    })
    .prefault({}),
});

export type AgentSettings = z.infer<typeof AgentSettings>;
