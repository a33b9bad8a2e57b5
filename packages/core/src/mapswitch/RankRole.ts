import type { Clock } from '../clock/Clock.js';
import type { ExpertMap } from '../experts/ExpertMap.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { Store } from '../store/Store.js';
import type { EngineControl } from './EngineControl.js';
import type { GroupPeers } from './GroupPeers.js';
import type { MapRecord } from './MapRecord.js';
import type { PrepareReply } from './PrepareReply.js';
import type { PrepareRequest } from './PrepareRequest.js';
import type { PromiseReply } from './PromiseReply.js';
import type { RecoveryReply } from './RecoveryReply.js';
import { StepGate } from './StepGate.js';
import { formatGroupKey } from './formatGroupKey.js';
import { readGroupRecords } from './readGroupRecords.js';

interface RankRoleOptions {
  readonly group: string;
  readonly rank: number;
  readonly ranks: number;
  /** Number of steps granted ahead of the engine's step. */
  readonly window: number;
  /** Maximum wait for the decision of a switch before this rank aborts it, milliseconds. */
  readonly patienceMs: number;
  /** Usual duration of a step, milliseconds; the unit in which stalls are counted. */
  readonly stepTimeMs: number;
  readonly incarnation: Incarnation;
  /** The engine's next step when the agent starts. */
  readonly engineStep: number;
}

/**
 * Runs the rank side of the map switch for an agent. The agent forwards calls of peers and the
 * engine's steps, and calls `tick` several times per window of steps.
 */
export class RankRole {
  readonly #options: RankRoleOptions;

  readonly #clock: Clock;

  readonly #store: Store;

  readonly #peers: GroupPeers;

  readonly #engine: EngineControl;

  readonly #gate: StepGate;

  #undecidedSinceMs = Infinity;

  #stalledSinceMs = Infinity;

  /** Map versions sent to the engine since the start of the engine or the agent. */
  readonly #sentVersions = new Set<number>();

  #isGranting = false;

  /** Names of the running background tasks. */
  readonly #runningTasks = new Set<string>();

  /** Prepare request whose weights are being loaded; empty if none. Prevents duplicate loads. */
  #loadingRequest = '';

  constructor(
    options: RankRoleOptions,
    clock: Clock,
    store: Store,
    peers: GroupPeers,
    engine: EngineControl,
  ) {
    this.#options = options;
    this.#clock = clock;
    this.#store = store;
    this.#peers = peers;
    this.#engine = engine;
    const { incarnation, engineStep } = options;
    this.#gate = new StepGate(options, StepGate.createState(options, incarnation, engineStep));
  }

  getState(): ReturnType<StepGate['getState']> {
    return this.#gate.getState();
  }

  /** Handles a prepare request. Weights load in the background; the planner repeats its request. */
  handlePrepare(request: PrepareRequest): PrepareReply {
    const reply = this.#gate.answerPrepare(request);
    const name = `${request.epoch}/${request.map.version}`;
    if (reply.refusal === null && !reply.isLoaded && this.#loadingRequest !== name) {
      this.#loadingRequest = name;
      void this.#loadWeights(request, name);
    }
    return reply;
  }

  handlePromiseRequest(record: MapRecord): PromiseReply {
    const reply = this.#gate.answerPromise(record);
    this.#trackUndecided();
    return reply;
  }

  handleDecision(record: MapRecord): void {
    this.#gate.handleDecision(record);
    this.#trackUndecided();
  }

  handleRecoveryRequest(rank: number, incarnation: Incarnation): RecoveryReply {
    return this.#gate.answerRecoveryRequest(rank, incarnation);
  }

  /** Records the engine's next step. */
  handleStep(engineStep: number): void {
    this.#gate.handleStep(engineStep);
  }

  /** Handles an engine restart, which loses the weights and maps sent to the engine. */
  handleEngineRestart(incarnation: Incarnation): void {
    this.#gate.handleEngineRestart(incarnation);
    this.#sentVersions.clear();
    this.#loadingRequest = '';
  }

  /**
   * Recovers or resolves the map record as needed, and grants steps. Returns when the engine has
   * its grant. Calls to the store and to peers run in the background, so that an unresponsive one
   * delays neither the grants nor the other.
   */
  async tick(): Promise<void> {
    const { source } = this.#gate.getState();
    if (source !== 'store') this.#runExclusive('resume', () => this.#readStoreRecord());
    if (source === 'none') this.#runExclusive('recovery', () => this.#collectRecoveryReplies());
    const isOverdue = this.#clock.getNow() - this.#undecidedSinceMs >= this.#options.patienceMs;
    if (this.#gate.isUndecided() && (isOverdue || this.#gate.isWaiting())) {
      this.#runExclusive('peers', () => this.#fetchDecisionFromPeers());
      this.#runExclusive('store', () => this.#resolveDecision(isOverdue));
    }
    await this.#grantExclusively();
  }

  async #grantExclusively(): Promise<void> {
    if (this.#isGranting) return;
    this.#isGranting = true;
    await this.#grant();
    this.#isGranting = false;
  }

  /** Runs a task unless one with the same name is running, then grants the steps it allows. */
  #runExclusive(name: string, run: () => Promise<void>): void {
    if (this.#runningTasks.has(name)) return;
    this.#runningTasks.add(name);
    void run().finally(() => {
      this.#runningTasks.delete(name);
      this.#trackUndecided();
      return this.#grantExclusively();
    });
  }

  async #loadWeights(request: PrepareRequest, name: string): Promise<void> {
    const loaded = await this.#engine.loadWeights(request.map);
    if (this.#loadingRequest !== name) return;
    this.#loadingRequest = '';
    if (loaded.ok) this.#gate.confirmLoaded(request);
  }

  async #readStoreRecord(): Promise<void> {
    const read = await readGroupRecords(this.#store, this.#options.group);
    if (read.err || read.val.map === null) return;
    this.#gate.handleStoreRecord(read.val.map, read.val.epoch);
  }

  async #collectRecoveryReplies(): Promise<void> {
    this.#gate.handleRecoveryReplies(await this.#queryPeers());
  }

  async #queryPeers(): Promise<RecoveryReply[]> {
    const { rank, ranks } = this.#options;
    const { incarnation } = this.#gate.getState();
    const peers = Array.from({ length: ranks }, (_, peer) => peer).filter((peer) => peer !== rank);
    const answers = await Promise.all(
      peers.map((peer) => this.#peers.requestRecovery(peer, { rank, incarnation })),
    );
    const replies: RecoveryReply[] = [];
    for (const answer of answers) if (answer.ok) replies.push(answer.val);
    return replies;
  }

  async #fetchDecisionFromPeers(): Promise<void> {
    for (const reply of await this.#queryPeers()) {
      if (reply.record !== null) this.#gate.handleDecision(reply.record);
    }
  }

  /** Reads the decision from the store; aborts a switch that is overdue, by compare-and-swap. */
  async #resolveDecision(isOverdue: boolean): Promise<void> {
    const { group, rank } = this.#options;
    const read = await readGroupRecords(this.#store, group);
    if (read.err || read.val.map === null) return;
    const { map, mapRevision } = read.val;
    this.#gate.handleDecision(map);
    if (!isOverdue || map.status !== 'pending') return;
    const { record, incarnation } = this.#gate.getState();
    if (record?.map.version !== map.map.version) return;
    const next = this.#gate.buildAbortRecord(`rank-${rank}/${incarnation}/${map.map.version}`);
    if (next === null) return;
    const key = formatGroupKey(group, 'map');
    // The outcome of this write is ignored, because the decision is read back.
    await this.#store.commit({
      conditions: [{ key, revision: mapRevision }],
      writes: [{ key, value: JSON.stringify(next) }],
    });
    const after = await readGroupRecords(this.#store, group);
    if (after.ok && after.val.map !== null) this.#gate.handleDecision(after.val.map);
  }

  async #grant(): Promise<void> {
    if (this.#gate.isWaiting()) {
      this.#recordStalls();
      return;
    }
    this.#stalledSinceMs = Infinity;
    if (!(await this.#sendMaps())) return;
    const grant = this.#gate.grant();
    // A decision that arrived during the calls above is sent to the engine first, in the next tick.
    if (grant !== null && this.#listUnsentMaps().length === 0) await this.#engine.grant(grant);
  }

  /** Sends the maps of the known record to the engine. @returns whether all were sent */
  async #sendMaps(): Promise<boolean> {
    for (const { map, boundary } of this.#listUnsentMaps()) {
      // After a restart, the loaded weights are unknown; loading them again is quick.
      const loaded = await this.#engine.loadWeights(map);
      if (loaded.err) return false;
      const switched = await this.#engine.switchMap(map, boundary);
      if (switched.err) return false;
      this.#sentVersions.add(map.version);
    }
    return true;
  }

  /** Lists the maps that the engine needs and has not been sent, in order of their first step. */
  #listUnsentMaps(): { readonly map: ExpertMap; readonly boundary: number }[] {
    const { record, engineStep } = this.#gate.getState();
    if (record === null) return [];
    const isCommitted = record.status === 'committed';
    const maps = [];
    if (!isCommitted || engineStep < record.boundary) {
      maps.push({ map: record.previous, boundary: 0 });
    }
    if (isCommitted) maps.push({ map: record.map, boundary: record.boundary });
    return maps.filter(({ map }) => !this.#sentVersions.has(map.version));
  }

  #recordStalls(): void {
    const nowMs = this.#clock.getNow();
    if (this.#stalledSinceMs === Infinity) this.#stalledSinceMs = nowMs;
    while (nowMs - this.#stalledSinceMs >= this.#options.stepTimeMs) {
      this.#gate.recordStall();
      this.#stalledSinceMs += this.#options.stepTimeMs;
    }
  }

  #trackUndecided(): void {
    if (!this.#gate.isUndecided()) this.#undecidedSinceMs = Infinity;
    else if (this.#undecidedSinceMs === Infinity) this.#undecidedSinceMs = this.#clock.getNow();
  }
}
