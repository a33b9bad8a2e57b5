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
  /** Returns the present incarnation of the target. */
  readonly getIncarnation: () => Incarnation;
  readonly log: Log;
  readonly metrics: MetricRegistry;
}

interface Membership {
  readonly group: string;
  readonly rank: number;
  readonly targets: readonly TargetId[];
}

/** Agents of a group that may become its planner; more would only add reads of the store. */
const PLANNER_CANDIDATES = 3;
const PLANNER_TICKS = 10;

/** Runs the group roles of an agent: grants steps to its rank, and plans where it is elected. */
export class GroupRunner {
  readonly #parts: GroupRunnerParts;

  readonly #engine: EngineCommands;

  #membership: Membership | null = null;

  #peers: GroupClient | null = null;

  #rank: RankRole | null = null;

  #planner: PlannerRole | null = null;

  #incarnation: Incarnation;

  /** Start of the engine as last reported; 0 before. */
  #engineStartedAtMs = 0;

  #ticks = 0;

  #wasHolder = false;

  #version = -1;

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

  /** Returns the handler for calls of other agents, or null where the rank is not served here. */
  findHandler(group: string, rank: number): GroupHandler | null {
    const own = this.#membership;
    return own !== null && own.group === group && own.rank === rank ? this.#rank : null;
  }

  /** Gives up the planner's lease, on a planned stop. */
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
          this.#parts.log.alert('group tick failed', { error: `${error}` }),
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
    this.#checkRestart(this.#rank, startedAtMs);
    this.#rank.handleStep(step + 1);
    await this.#rank.tick();
    this.#logVersion();
    this.#ticks += 1;
    if (this.#ticks % PLANNER_TICKS === 0 && this.#isCandidate()) await this.#plan();
  }

  /**
   * Notices a restart of the engine before the next grant. An engine runs no step before a map is
   * ordered since its start, so a grant that was under way during the restart does no harm.
   */
  #checkRestart(rank: RankRole, startedAtMs: number): void {
    const isRestarted = this.#engineStartedAtMs !== 0 && this.#engineStartedAtMs !== startedAtMs;
    this.#engineStartedAtMs = startedAtMs;
    const known = this.#parts.getIncarnation();
    if (!isRestarted && known <= this.#incarnation) return;
    this.#incarnation = Math.max(known, this.#incarnation + 1) as Incarnation;
    rank.handleEngineRestart(this.#incarnation);
    const { group } = this.#membership!;
    this.#parts.log.report('engine restarted, maps are ordered again', { group });
  }

  /** Finds the group and rank of the target in the document. */
  #join(step: number): void {
    const { clock, config, service, settings, store, target } = this.#parts;
    const document = config.getDocument(service)?.document ?? null;
    for (const group of document?.groups ?? []) {
      const rank = group.ranks.indexOf(target);
      if (rank < 0) continue;
      this.#membership = { group: group.name, rank, targets: group.ranks };
      this.#peers = new GroupClient(group.name, (other) => this.#findAddress(other));
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
    if (planner.isLeaseHolder() === this.#wasHolder) return;
    this.#wasHolder = planner.isLeaseHolder();
    const { group } = this.#membership!;
    this.#parts.log.report(this.#wasHolder ? 'became planner' : 'is planner no more', { group });
  }

  #logVersion(): void {
    const { record } = this.#rank!.getState();
    if (record === null || record.map.version === this.#version) return;
    if (record.status === 'pending') return;
    this.#version = record.map.version;
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

  /** The first live agents of the group, in rank order, take turns as planner. */
  #isCandidate(): boolean {
    const agents = this.#listAgents();
    let candidates = 0;
    for (const target of this.#membership!.targets) {
      if (agents.get(target)?.state !== 'live') continue;
      candidates += 1;
      if (target === this.#parts.target) return true;
      if (candidates >= PLANNER_CANDIDATES) return false;
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
