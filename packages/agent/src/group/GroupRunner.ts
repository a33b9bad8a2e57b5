import {
  PlannerRole,
  RankRole,
  createRoundRobinLayer,
  type Clock,
  type ConfigSource,
  type Incarnation,
  type InstanceId,
  type InstanceRecord,
  type ServiceName,
  type Store,
  type TargetId,
} from '@limpetbay/core';
import { GroupClient, type GroupHandler } from '@limpetbay/rpc';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { EngineClient } from '@limpetbay/targets';
import type { AgentSettings } from '../settings/AgentSettings.js';
import { EngineCommands } from './EngineCommands.js';
import { PlacementLog } from './PlacementLog.js';

interface GroupRunnerParts {
  readonly id: InstanceId;
  readonly service: ServiceName;
  readonly target: TargetId;
  readonly clock: Clock;
  readonly store: Store;
  readonly config: ConfigSource;
  readonly engine: EngineClient;
  readonly settings: AgentSettings['experts'];
  /** Returns the current incarnation of the target. */
  readonly getIncarnation: () => Incarnation;
  readonly log: Log;
  readonly metrics: MetricRegistry;
}

interface Membership {
  readonly group: string;
  readonly rank: number;
  readonly targets: readonly TargetId[];
}

/** Agents of a group that compete for the planner's lease; more would only add store reads. */
const MAX_PLANNER_CANDIDATES = 3;
const TICKS_PER_PLANNING = 10;

/**
 * Runs the roles of an agent in a group: grants steps to its rank, and plans expert maps while it
 * holds the planner's lease.
 */
export class GroupRunner {
  readonly #parts: GroupRunnerParts;

  readonly #engine: EngineCommands;

  #membership: Membership | null = null;

  #peers: GroupClient | null = null;

  #rank: RankRole | null = null;

  #planner: PlannerRole | null = null;

  #incarnation: Incarnation;

  /** Start time that the engine last reported, Unix milliseconds; 0 before the first report. */
  #engineStartedAtMs = 0;

  #ticks = 0;

  #wasPlanner = false;

  #loggedVersion = -1;

  #timer: NodeJS.Timeout | null = null;

  #isStopped = false;

  constructor(parts: GroupRunnerParts) {
    this.#parts = parts;
    this.#incarnation = parts.getIncarnation();
    this.#engine = new EngineCommands(parts.engine, () => this.#getEpoch());
    parts.metrics.register(
      'limpetbay_agent_stalled_steps',
      () => this.#rank?.getState().stalledSteps ?? 0,
    );
    this.#schedule();
  }

  /** Returns the handler for calls of other agents; null if this agent does not serve the rank. */
  findHandler(group: string, rank: number): GroupHandler | null {
    const membership = this.#membership;
    return membership !== null && membership.group === group && membership.rank === rank
      ? this.#rank
      : null;
  }

  /** Releases the planner's lease if this agent holds it, on a planned stop. */
  async release(): Promise<void> {
    await this.#planner?.release();
  }

  stop(): void {
    this.#isStopped = true;
    if (this.#timer !== null) clearTimeout(this.#timer);
    this.#peers?.close();
  }

  #schedule(): void {
    if (this.#isStopped) return;
    this.#timer = setTimeout(() => {
      void this.#tick()
        .catch((error: unknown) =>
          this.#parts.log.alert('could not run the tick of the group; trying again', {
            error: `${error}`,
          }),
        )
        .then(() => this.#schedule());
    }, this.#parts.settings.tick_ms);
  }

  async #tick(): Promise<void> {
    const report = await this.#engine.readStep();
    if (report.err) return;
    const { step, startedAtMs } = report.val;
    if (this.#rank === null) this.#join(step);
    if (this.#rank === null) return;
    this.#detectRestart(this.#rank, startedAtMs);
    this.#rank.handleStep(step + 1);
    await this.#rank.tick();
    this.#logVersion();
    this.#ticks += 1;
    if (this.#ticks % TICKS_PER_PLANNING === 0 && this.#isCandidate()) await this.#plan();
  }

  /**
   * Detects a restart of the engine before the next grant. An engine runs no step until it was
   * sent a map since its start, so a grant sent during the restart has no effect.
   */
  #detectRestart(rank: RankRole, startedAtMs: number): void {
    const isRestarted = this.#engineStartedAtMs !== 0 && this.#engineStartedAtMs !== startedAtMs;
    this.#engineStartedAtMs = startedAtMs;
    const targetIncarnation = this.#parts.getIncarnation();
    if (!isRestarted && targetIncarnation <= this.#incarnation) return;
    this.#incarnation = Math.max(targetIncarnation, this.#incarnation + 1) as Incarnation;
    rank.handleEngineRestart(this.#incarnation);
    const { group } = this.#membership!;
    this.#parts.log.report('engine restarted; sending its expert map again', { group });
  }

  /** Creates the roles once the active document lists the target as a rank of a group. */
  #join(step: number): void {
    const { clock, config, service, settings, store, target } = this.#parts;
    const document = config.getDocument(service)?.document ?? null;
    for (const group of document?.groups ?? []) {
      const rank = group.ranks.indexOf(target);
      if (rank < 0) continue;
      this.#membership = { group: group.name, rank, targets: group.ranks };
      this.#peers = new GroupClient(group.name, (peerRank) => this.#findAddress(peerRank));
      this.#rank = new RankRole(
        {
          group: group.name,
          rank,
          ranks: group.ranks.length,
          window: settings.window_steps,
          patienceMs: settings.patience_ms,
          stepTimeMs: settings.step_ms,
          incarnation: this.#incarnation,
          engineStep: step + 1,
        },
        clock,
        store,
        this.#peers,
        this.#engine,
      );
      this.#planner = this.#createPlanner(this.#membership, this.#peers);
      return;
    }
  }

  #createPlanner({ group, targets }: Membership, peers: GroupClient): PlannerRole {
    const { clock, id, log, settings, store } = this.#parts;
    const ranks = targets.length;
    const baseSlots = Math.ceil(settings.experts / ranks);
    const layer = createRoundRobinLayer(settings.experts, ranks, baseSlots + settings.spare_slots);
    const layers = Array.from({ length: settings.layers }, () => layer);
    return new PlannerRole(
      {
        group,
        ranks,
        holder: `${id}/${this.#incarnation}`,
        leaseTtlMs: settings.lease_ms,
        leadSteps: settings.window_steps,
        patienceMs: settings.patience_ms,
        loadTimeoutMs: settings.load_timeout_ms,
        cost: {
          bytesPerCopy: settings.bytes_per_copy,
          weightBytesPerSecond: settings.weight_bytes_per_second,
          lossPerLoadSecond: settings.loss_per_load_second,
          stallSeconds: 0,
          expertShare: settings.expert_share,
          maxLoadsPerRank: settings.spare_slots,
        },
        firstMap: { version: 0, layers },
        pause: () =>
          new Promise((resolve) => {
            setImmediate(resolve);
          }),
      },
      clock,
      store,
      peers,
      this.#engine,
      new PlacementLog(log, group),
    );
  }

  async #plan(): Promise<void> {
    const planner = this.#planner!;
    await planner.tick();
    if (planner.isLeaseHolder() === this.#wasPlanner) return;
    this.#wasPlanner = planner.isLeaseHolder();
    const { group } = this.#membership!;
    this.#parts.log.report(this.#wasPlanner ? 'became planner' : 'no longer planner', { group });
  }

  #logVersion(): void {
    const { record } = this.#rank!.getState();
    if (record === null || record.map.version === this.#loggedVersion) return;
    if (record.status === 'pending') return;
    this.#loggedVersion = record.map.version;
    const { group, rank } = this.#membership!;
    this.#parts.log.report('map switch decided', {
      group,
      rank,
      version: record.map.version,
      decision: record.status,
      boundary: record.boundary,
      reason: `planner epoch ${record.epoch}`,
    });
  }

  /**
   * Whether this agent competes for the planner's lease: it is one of the first live agents of the
   * group in rank order.
   */
  #isCandidate(): boolean {
    const agents = this.#listAgents();
    let candidates = 0;
    for (const target of this.#membership!.targets) {
      if (agents.get(target)?.state !== 'live') continue;
      candidates += 1;
      if (target === this.#parts.target) return true;
      if (candidates >= MAX_PLANNER_CANDIDATES) return false;
    }
    return false;
  }

  #findAddress(rank: number): string | null {
    const target = this.#membership?.targets[rank];
    return target === undefined ? null : (this.#listAgents().get(target)?.address ?? null);
  }

  #listAgents(): Map<TargetId, InstanceRecord> {
    const agents = new Map<TargetId, InstanceRecord>();
    for (const instance of this.#parts.config.listInstances()) {
      if (instance.role === 'agent' && instance.target !== undefined) {
        agents.set(instance.target, instance);
      }
    }
    return agents;
  }

  #getEpoch(): number {
    return this.#rank?.getState().record?.epoch ?? 0;
  }
}
