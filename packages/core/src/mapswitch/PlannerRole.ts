import type { Clock } from '../clock/Clock.js';
import type { ChangeCost } from '../experts/ChangeCost.js';
import { ExpertLoadEstimator } from '../experts/ExpertLoadEstimator.js';
import type { ExpertMap } from '../experts/ExpertMap.js';
import type { LayerPlacement } from '../experts/LayerPlacement.js';
import { PlacementPlanner } from '../experts/PlacementPlanner.js';
import type { Epoch } from '../ids/Epoch.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { Revision } from '../ids/Revision.js';
import type { Store } from '../store/Store.js';
import type { ExpertCountSource } from './ExpertCountSource.js';
import type { GroupPeers } from './GroupPeers.js';
import type { MapRecord } from './MapRecord.js';
import { MapSwitchPlanner } from './MapSwitchPlanner.js';
import type { PlannerAction } from './PlannerAction.js';
import { PlannerLease } from './PlannerLease.js';
import type { PlannerListener } from './PlannerListener.js';
import type { PlannerRecord } from './PlannerRecord.js';
import { formatGroupKey } from './formatGroupKey.js';
import { readGroupRecords } from './readGroupRecords.js';

interface PlannerRoleOptions {
  readonly group: string;
  readonly ranks: number;
  /** Name of this process and its start. Must be unique: it is the prefix of all operation ids. */
  readonly holder: string;
  readonly leaseTtlMs: number;
  readonly leadSteps: number;
  /** Maximum wait for promises before the switch is aborted, milliseconds. */
  readonly patienceMs: number;
  /** Maximum time to load weights before the proposal is cancelled, milliseconds. */
  readonly loadTimeoutMs: number;
  readonly cost: ChangeCost;
  /** Map of a group without a stored record. */
  readonly firstMap: ExpertMap;
  /**
   * Yields to other events between planning two layers, because planning a layer at 256 ranks
   * takes about as long as a step. If omitted, all layers are planned without yielding.
   */
  readonly pause?: () => Promise<void>;
}

/**
 * Runs the planner of a group in an agent: acquires the lease, updates load estimates from the
 * counts, and switches the map if a change is worthwhile. The agent calls `tick` about once a
 * second.
 */
export class PlannerRole {
  readonly #options: PlannerRoleOptions;

  readonly #clock: Clock;

  readonly #store: Store;

  readonly #peers: GroupPeers;

  readonly #counts: ExpertCountSource;

  readonly #listener: PlannerListener | null;

  readonly #lease: PlannerLease;

  #planner: MapSwitchPlanner;

  #leaseName = '';

  #loadEstimators: ExpertLoadEstimator[] = [];

  #placementPlanners: PlacementPlanner[] = [];

  #activeVersion = -1;

  #phaseSinceMs = 0;

  #lastPhase = '';

  /** Operation id of the decision last reported to the listener. */
  #lastReportedDecision = '';

  #acquisitionCount = 0;

  #isTicking = false;

  constructor(
    options: PlannerRoleOptions,
    clock: Clock,
    store: Store,
    peers: GroupPeers,
    counts: ExpertCountSource,
    listener: PlannerListener | null = null,
  ) {
    this.#options = options;
    this.#clock = clock;
    this.#store = store;
    this.#peers = peers;
    this.#counts = counts;
    this.#listener = listener;
    this.#lease = new PlannerLease(clock);
    this.#planner = this.#createPlanner();
  }

  /** Whether this process holds the planner lease. */
  isLeaseHolder(): boolean {
    return this.#lease.isHeld();
  }

  getState(): ReturnType<MapSwitchPlanner['getState']> {
    return this.#planner.getState();
  }

  /** Renews or acquires the lease and advances the switch. Does nothing if a tick is running. */
  async tick(): Promise<void> {
    if (this.#isTicking) return;
    this.#isTicking = true;
    try {
      if (this.#lease.isHeld()) await this.#renew();
      else await this.#acquire();
      if (this.#lease.isHeld()) await this.#advanceSwitch();
    } finally {
      this.#isTicking = false;
    }
  }

  /** Releases the lease before a planned stop. */
  async release(): Promise<void> {
    if (!this.#lease.isHeld()) return;
    this.#lease.drop();
    await this.#store.revokeLease(this.#leaseName);
  }

  #createPlanner(): MapSwitchPlanner {
    const { ranks, leadSteps, holder } = this.#options;
    return new MapSwitchPlanner({ ranks, leadSteps, operations: holder }, this.#lease);
  }

  async #renew(): Promise<void> {
    const sentAtMs = this.#clock.getNow();
    const leftMs = this.#lease.getState().heldUntilMs - sentAtMs;
    if (leftMs > this.#options.leaseTtlMs / 2) return;
    const renewed = await this.#store.renewLease(this.#leaseName);
    if (renewed.ok) this.#lease.renew(sentAtMs, renewed.val.ttlMs);
    else if (renewed.val.kind === 'stale_epoch') this.#lease.drop();
  }

  async #acquire(): Promise<void> {
    const { group, holder, leaseTtlMs } = this.#options;
    const read = await readGroupRecords(this.#store, group);
    if (read.err || read.val.isLeaseHeld) return;
    const sentAtMs = this.#clock.getNow();
    const granted = await this.#store.grantLease(leaseTtlMs);
    if (granted.err) return;
    const { lease, ttlMs } = granted.val;
    this.#acquisitionCount += 1;
    const epoch = (read.val.epoch + 1) as Epoch;
    const record: PlannerRecord = {
      epoch,
      holder,
      operation: `${holder}/acquire/${this.#acquisitionCount}`,
    };
    const plannerKey = formatGroupKey(group, 'planner');
    const leaseKey = formatGroupKey(group, 'planner-lease');
    const committed = await this.#store.commit({
      conditions: [
        { key: plannerKey, revision: read.val.plannerRevision },
        { key: leaseKey, revision: 0 },
      ],
      writes: [
        { key: plannerKey, value: JSON.stringify(record) },
        { key: leaseKey, value: holder, lease },
      ],
    });
    if (committed.ok && !committed.val.committed) {
      await this.#store.revokeLease(lease);
      return;
    }
    // The operation id shows whether an unanswered commit took effect. The map record must be read
    // in any case.
    const after = await readGroupRecords(this.#store, group);
    if (after.err || after.val.planner?.operation !== record.operation) return;
    this.#leaseName = lease;
    this.#lease.recordAcquisition(sentAtMs, ttlMs, epoch, after.val.plannerRevision as Revision);
    this.#planner = this.#createPlanner();
    if (after.val.map === null) await this.#createMapRecord(epoch);
    else {
      await this.#run(
        this.#planner.handleStoreRecord(after.val.map, after.val.mapRevision as Revision),
      );
    }
  }

  /** Writes the initial map record of a group; the next tick reads it. */
  async #createMapRecord(epoch: Epoch): Promise<void> {
    const { group, holder, firstMap, ranks } = this.#options;
    const record: MapRecord = {
      epoch,
      operation: `${holder}/first`,
      status: 'committed',
      boundary: 0,
      incarnations: Array.from({ length: ranks }, () => 0 as Incarnation),
      map: firstMap,
      previous: firstMap,
    };
    const key = formatGroupKey(group, 'map');
    await this.#store.commit({
      conditions: [{ key, revision: 0 }],
      writes: [{ key, value: JSON.stringify(record) }],
    });
  }

  async #advanceSwitch(): Promise<void> {
    const { phase, record } = this.#planner.getState();
    this.#reportDecision(record);
    const nowMs = this.#clock.getNow();
    if (phase !== this.#lastPhase) this.#phaseSinceMs = nowMs;
    this.#lastPhase = phase;
    const waitMs = nowMs - this.#phaseSinceMs;
    if (record !== null) await this.#updateLoads(record);
    if (phase === 'idle' && record !== null) await this.#proposeMap(record);
    else if (phase === 'preparing') {
      if (waitMs < this.#options.loadTimeoutMs) await this.#run(this.#planner.retryPrepare());
      else this.#planner.cancel();
    } else if (phase !== 'promising') await this.#run(this.#planner.handleTimeout());
    else if (waitMs >= this.#options.patienceMs) await this.#run(this.#planner.handleTimeout());
  }

  /** Updates the load estimates in every phase, so that they include a jump during a switch. */
  async #updateLoads(record: MapRecord): Promise<void> {
    this.#updateActiveMap(record.status === 'committed' ? record.map : record.previous);
    const counts = await this.#counts.read();
    if (counts.err) return;
    for (const [index, layer] of counts.val.layers.entries()) {
      this.#loadEstimators[index]?.addCounts(layer, counts.val.endMs);
    }
  }

  async #proposeMap(record: MapRecord): Promise<void> {
    const activeMap = record.status === 'committed' ? record.map : record.previous;
    let hasChange = false;
    const layers: LayerPlacement[] = [];
    for (const [index, layer] of activeMap.layers.entries()) {
      if (index > 0) await this.#options.pause?.();
      const shares = this.#loadEstimators[index]?.getShares() ?? [];
      if (shares.length === 0) {
        layers.push(layer);
        continue;
      }
      const choice = this.#placementPlanners[index]?.choosePlacement(layer, shares);
      if (choice !== undefined) this.#listener?.onChoice(index, choice);
      const next = choice?.next ?? null;
      if (next !== null) hasChange = true;
      layers.push(next ?? layer);
    }
    if (hasChange) await this.#run(this.#planner.startSwitch(layers));
  }

  /** Keeps an estimator and a placement planner per layer; records a change of the active map. */
  #updateActiveMap(map: ExpertMap): void {
    if (this.#loadEstimators.length !== map.layers.length) {
      this.#loadEstimators = map.layers.map(() => new ExpertLoadEstimator());
      this.#placementPlanners = map.layers.map(
        () => new PlacementPlanner(this.#clock, this.#options.cost),
      );
    } else if (map.version !== this.#activeVersion) {
      for (const planner of this.#placementPlanners) planner.recordChange();
    }
    this.#activeVersion = map.version;
  }

  #reportDecision(record: MapRecord | null): void {
    if (record === null || record.status === 'pending') return;
    if (record.operation === this.#lastReportedDecision) return;
    this.#lastReportedDecision = record.operation;
    this.#listener?.onDecision(record);
  }

  async #run(actions: readonly PlannerAction[]): Promise<void> {
    await Promise.all(
      actions.map(async (action) => {
        // The lease may have expired since the action was created, for example in a process pause.
        if (this.#lease.isHeld()) await this.#run(await this.#runAction(action));
      }),
    );
  }

  async #runAction(action: PlannerAction): Promise<PlannerAction[]> {
    switch (action.kind) {
      case 'prepare': {
        const reply = await this.#peers.prepare(action.rank, action.request);
        return reply.ok ? this.#planner.handlePrepareReply(reply.val) : [];
      }
      case 'promise': {
        const reply = await this.#peers.promise(action.rank, action.record);
        return reply.ok ? this.#planner.handlePromiseReply(reply.val) : [];
      }
      case 'tell':
        await this.#peers.sendDecision(action.rank, action.record);
        return [];
      case 'read': {
        const read = await readGroupRecords(this.#store, this.#options.group);
        if (read.err || read.val.map === null) return [];
        return this.#planner.handleStoreRecord(read.val.map, read.val.mapRevision as Revision);
      }
      default:
        return this.#writeRecord(action);
    }
  }

  async #writeRecord(action: PlannerAction & { kind: 'write' }): Promise<PlannerAction[]> {
    const { group } = this.#options;
    const key = formatGroupKey(group, 'map');
    const committed = await this.#store.commit({
      conditions: [
        { key, revision: action.mapRevision },
        { key: formatGroupKey(group, 'planner'), revision: action.plannerRevision },
      ],
      writes: [{ key, value: JSON.stringify(action.record) }],
    });
    const { operation } = action.record;
    // The next tick reads again; an immediate read would loop without delay during an outage.
    if (committed.err) return [];
    const planner = committed.val.current.find(
      (entry) => entry.key === formatGroupKey(group, 'planner'),
    );
    const isReplaced = planner !== undefined && planner.revision !== action.plannerRevision;
    if (!committed.val.committed && isReplaced) {
      // Another planner has raised the epoch, so no further write of this one can succeed.
      this.#lease.drop();
      return [];
    }
    const outcome = committed.val.committed ? committed.val.revision : 'conflict';
    return this.#planner.handleWriteResult(operation, outcome);
  }
}
