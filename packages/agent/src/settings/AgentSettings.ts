import { z } from 'zod';
import { InstanceId, ServiceName, TargetId, Zone } from '@limpetbay/core';
import { AddressSetting, LogSettings, PlatformSettings, UrlSetting } from '@limpetbay/runtime';

/** Settings of `limpetbay-agent`, by section and key of its INI file. */
export const AgentSettings = z.strictObject({
  agent: z.strictObject({
    id: InstanceId,
    zone: Zone,
    /** `IP:PORT` for other limpetbay processes. */
    address: AddressSetting,
    /** Port of `/metrics` and `/healthz` on the same IP; 0 serves neither. */
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
      /** Silence of the engine after which its connections are replaced. */
      engine_silence_ms: z.coerce.number().int().min(500).max(60_000).default(3000),
      /** Time for which a leaving agent stays up, so that every entry has learned of it. */
      leave_ms: z.coerce.number().int().min(0).max(600_000).default(3000),
      stop_grace_ms: z.coerce.number().int().min(1000).max(7_200_000).default(600_000),
    })
    .prefault({}),
  /** Expert maps of a model engine that runs only granted steps. */
  experts: z
    .strictObject({
      /** Experts of a layer; 0 leaves the engine's steps and maps alone. */
      experts: z.coerce.number().int().min(0).max(4096).default(0),
      /** Placements in a map; 1 stands for one placement that all layers share. */
      layers: z.coerce.number().int().min(1).max(1024).default(1),
      /** Room on a rank for copies beyond its even share of the experts. */
      spare_slots: z.coerce.number().int().min(0).max(64).default(2),
      bytes_per_copy: z.coerce.number().min(1).default(44_000_000),
      weight_bytes_per_second: z.coerce.number().min(1).default(1_000_000_000),
      loss_per_load_second: z.coerce.number().min(0).max(1).default(0.05),
      /** Share of the step time that grows with the slowest rank's expert load. */
      expert_share: z.coerce.number().min(0).max(1).default(0.5),
      /** Usual time of a step, milliseconds. */
      step_ms: z.coerce.number().min(1).max(10_000).default(50),
      /** Steps that are granted ahead of the engine. */
      window_steps: z.coerce.number().int().min(2).max(10_000).default(64),
      patience_ms: z.coerce.number().int().min(100).max(600_000).default(2000),
      load_timeout_ms: z.coerce.number().int().min(1000).max(3_600_000).default(120_000),
      lease_ms: z.coerce.number().int().min(1000).max(600_000).default(10_000),
      tick_ms: z.coerce.number().int().min(10).max(10_000).default(100),
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
