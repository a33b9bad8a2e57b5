import type { Clock } from '../clock/Clock.js';
import type { ExpertMap } from '../experts/ExpertMap.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { Store } from '../store/Store.js';
import type { EngineSteps } from './EngineSteps.js';
import type { GroupPeers } from './GroupPeers.js';
import type { MapRecord } from './MapRecord.js';
import type { PrepareReply } from './PrepareReply.js';
import type { PrepareRequest } from './PrepareRequest.js';
import type { PromiseReply } from './PromiseReply.js';
import type { RankEvidence } from './RankEvidence.js';
import { StepGate } from './StepGate.js';
import { formatGroupKey } from './formatGroupKey.js';
import { readGroup } from './readGroup.js';

interface RankRoleOptions {
  readonly group: string;
  readonly rank: number;
  readonly ranks: number;
  /** Steps granted ahead of the engine. */
  readonly window: number;
  /** Time after which an undecided switch is abandoned, milliseconds. */
  readonly patienceMs: number;
  /** Usual time of a step, milliseconds; the unit in which stalls are counted. */
  readonly stepTimeMs: number;
  readonly incarnation: Incarnation;
  /** The engine's next step when the agent starts. */
  readonly engineStep: number;
}

/**
 * Runs the rank side of the map switch for an agent. The agent hands over peers' calls and the
 * engine's steps, and calls `tick` several times in each window of steps.
 */
export class RankRole {
  readonly #options: RankRoleOptions;

  readonly #clock: Clock;

  readonly #store: Store;

  readonly #peers: GroupPeers;

  readonly #engine: EngineSteps;

  readonly #gate: StepGate;

  #undecidedSinceMs = Infinity;

  #stalledSinceMs = Infinity;

  /** Versions that the engine has been told since its or the agent's start. */
  readonly #told = new Set<number>();

  #isGranting = false;

  /** Names of the calls that are under way. */
  readonly #running = new Set<string>();

  /** Request whose weights are being loaded; a repeated request starts no second load. */
  #loading = '';

  constructor(
    options: RankRoleOptions,
    clock: Clock,
    store: Store,
    peers: GroupPeers,
    engine: EngineSteps,
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

  /** Answers a planner. Loading goes on behind the answer; the planner asks again. */
  handlePrepare(request: PrepareRequest): PrepareReply {
    const reply = this.#gate.answerPrepare(request);
    const name = `${request.epoch}/${request.map.version}`;
    if (reply.refusal === null && !reply.isLoaded && this.#loading !== name) {
      this.#loading = name;
      void this.#load(request, name);
    }
    return reply;
  }

  handlePromise(record: MapRecord): PromiseReply {
    const reply = this.#gate.answerPromise(record);
    this.#noteUndecided();
    return reply;
  }

  handleTell(record: MapRecord): void {
    this.#gate.learnDecision(record);
    this.#noteUndecided();
  }

  handleAsk(rank: number, incarnation: Incarnation): RankEvidence {
    return this.#gate.answerResume(rank, incarnation);
  }

  /** Notes the engine's next step. */
  acceptStep(engineStep: number): void {
    this.#gate.acceptStep(engineStep);
  }

  /** Notes an engine restart: it has lost its weights and the map it was told. */
  restartEngine(incarnation: Incarnation): void {
    this.#gate.restartEngine(incarnation);
    this.#told.clear();
    this.#loading = '';
  }

  /**
   * Does what is due. Returns when the engine has its grant; calls to the store and to peers go on
   * behind it, so that one that does not answer holds up neither grants nor the other.
   */
  async tick(): Promise<void> {
    const { source } = this.#gate.getState();
    if (source !== 'store') this.#runAlone('resume', () => this.#readStore());
    if (source === 'none') this.#runAlone('evidence', () => this.#collectEvidence());
    const isLate = this.#clock.getNow() - this.#undecidedSinceMs >= this.#options.patienceMs;
    if (this.#gate.isUndecided() && (isLate || this.#gate.isWaiting())) {
      this.#runAlone('peers', () => this.#seekDecision());
      this.#runAlone('store', () => this.#settleDecision(isLate));
    }
    await this.#grantAlone();
  }

  async #grantAlone(): Promise<void> {
    if (this.#isGranting) return;
    this.#isGranting = true;
    await this.#grant();
    this.#isGranting = false;
  }

  /** Runs a task unless one of its name is running; then grants what it allows. */
  #runAlone(name: string, run: () => Promise<void>): void {
    if (this.#running.has(name)) return;
    this.#running.add(name);
    void run().finally(() => {
      this.#running.delete(name);
      this.#noteUndecided();
      return this.#grantAlone();
    });
  }

  async #load(request: PrepareRequest, name: string): Promise<void> {
    const loaded = await this.#engine.loadWeights(request.map);
    if (this.#loading !== name) return;
    this.#loading = '';
    if (loaded.ok) this.#gate.confirmLoaded(request);
  }

  async #readStore(): Promise<void> {
    const read = await readGroup(this.#store, this.#options.group);
    if (read.err || read.val.map === null) return;
    this.#gate.acceptStoreRecord(read.val.map, read.val.epoch);
  }

  async #collectEvidence(): Promise<void> {
    this.#gate.acceptEvidence(await this.#askPeers());
  }

  async #askPeers(): Promise<RankEvidence[]> {
    const { rank, ranks } = this.#options;
    const { incarnation } = this.#gate.getState();
    const others = Array.from({ length: ranks }, (_, other) => other).filter((it) => it !== rank);
    const answers = await Promise.all(
      others.map((other) => this.#peers.ask(other, { rank, incarnation })),
    );
    const evidence: RankEvidence[] = [];
    for (const answer of answers) if (answer.ok) evidence.push(answer.val);
    return evidence;
  }

  async #seekDecision(): Promise<void> {
    for (const evidence of await this.#askPeers()) {
      if (evidence.record !== null) this.#gate.learnDecision(evidence.record);
    }
  }

  /** Asks the store, and ends the switch by CAS where it stays undecided for too long. */
  async #settleDecision(isLate: boolean): Promise<void> {
    const { group, rank } = this.#options;
    const read = await readGroup(this.#store, group);
    if (read.err || read.val.map === null) return;
    const { map, mapRevision } = read.val;
    this.#gate.learnDecision(map);
    if (!isLate || map.status !== 'pending') return;
    const { record, incarnation } = this.#gate.getState();
    if (record?.map.version !== map.map.version) return;
    const next = this.#gate.buildAbandon(`rank-${rank}/${incarnation}/${map.map.version}`);
    if (next === null) return;
    const key = formatGroupKey(group, 'map');
    // Whatever becomes of this write, the decision is learned from a read.
    await this.#store.commit({
      conditions: [{ key, revision: mapRevision }],
      writes: [{ key, value: JSON.stringify(next) }],
    });
    const after = await readGroup(this.#store, group);
    if (after.ok && after.val.map !== null) this.#gate.learnDecision(after.val.map);
  }

  async #grant(): Promise<void> {
    if (this.#gate.isWaiting()) {
      this.#countStall();
      return;
    }
    this.#stalledSinceMs = Infinity;
    if (!(await this.#tellMaps())) return;
    const grant = this.#gate.grant();
    // A decision that came during the calls above goes to the engine first, in the next tick.
    if (grant !== null && this.#listMaps().length === 0) await this.#engine.grant(grant);
  }

  /** Tells the engine the maps of the known record. @returns whether it knows all of them */
  async #tellMaps(): Promise<boolean> {
    for (const { map, boundary } of this.#listMaps()) {
      // After a restart nobody knows what the engine holds; loading again what it holds is quick.
      const loaded = await this.#engine.loadWeights(map);
      if (loaded.err) return false;
      const switched = await this.#engine.switchMap(map, boundary);
      if (switched.err) return false;
      this.#told.add(map.version);
    }
    return true;
  }

  /** Lists the maps that the engine needs and has not been told, in order of their first step. */
  #listMaps(): { readonly map: ExpertMap; readonly boundary: number }[] {
    const { record, engineStep } = this.#gate.getState();
    if (record === null) return [];
    const isCommitted = record.status === 'committed';
    const maps = [];
    if (!isCommitted || engineStep < record.boundary) {
      maps.push({ map: record.previous, boundary: 0 });
    }
    if (isCommitted) maps.push({ map: record.map, boundary: record.boundary });
    return maps.filter(({ map }) => !this.#told.has(map.version));
  }

  #countStall(): void {
    const nowMs = this.#clock.getNow();
    if (this.#stalledSinceMs === Infinity) this.#stalledSinceMs = nowMs;
    while (nowMs - this.#stalledSinceMs >= this.#options.stepTimeMs) {
      this.#gate.recordStall();
      this.#stalledSinceMs += this.#options.stepTimeMs;
    }
  }

  #noteUndecided(): void {
    if (!this.#gate.isUndecided()) this.#undecidedSinceMs = Infinity;
    else if (this.#undecidedSinceMs === Infinity) this.#undecidedSinceMs = this.#clock.getNow();
  }
}
