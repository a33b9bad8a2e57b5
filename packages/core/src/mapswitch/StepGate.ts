import type { ExpertMap } from '../experts/ExpertMap.js';
import type { Epoch } from '../ids/Epoch.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { MapRecord } from './MapRecord.js';
import type { PrepareReply } from './PrepareReply.js';
import type { PrepareRequest } from './PrepareRequest.js';
import type { PromiseReply } from './PromiseReply.js';
import type { RankEvidence } from './RankEvidence.js';
import type { RankRefusal } from './RankRefusal.js';
import type { StepGateState } from './StepGateState.js';
import type { StepGrant } from './StepGrant.js';

interface StepGateConfig {
  readonly rank: number;
  readonly ranks: number;
  /** Steps that are granted ahead of the engine's step. */
  readonly window: number;
}

function isDecided(record: MapRecord): boolean {
  return record.status !== 'pending';
}

/**
 * The rank side of a map switch: decides up to which step the engine may run and with which map.
 * No step at or after the boundary of an undecided record is granted.
 */
export class StepGate {
  readonly #config: StepGateConfig;

  #state: StepGateState;

  constructor(config: StepGateConfig, state: StepGateState) {
    this.#config = config;
    this.#state = state;
  }

  /**
   * Creates the state of an agent that has just started. The engine may hold grants of the agent
   * before it, also such that are still on their way, but none beyond a window from its step.
   */
  static createState(
    config: StepGateConfig,
    incarnation: Incarnation,
    engineStep: number,
  ): StepGateState {
    return {
      incarnation,
      engineStep,
      grantedUntil: engineStep + config.window - 1,
      floor: 0 as Epoch,
      source: 'none',
      record: null,
      loaded: null,
      seen: Array.from({ length: config.ranks }, () => 0 as Incarnation),
      stalledSteps: 0,
    };
  }

  getState(): StepGateState {
    return this.#state;
  }

  /** Notes the next step that the engine runs; steps never go back. */
  acceptStep(engineStep: number): void {
    if (engineStep > this.#state.engineStep) this.#update({ engineStep });
  }

  /** Notes that the engine waited for the time of a step because nothing was granted. */
  recordStall(): void {
    this.#update({ stalledSteps: this.#state.stalledSteps + 1 });
  }

  /** Notes that the engine restarted: its loaded weights are gone, the agent's promise is not. */
  restartEngine(incarnation: Incarnation): void {
    this.#update({ incarnation, loaded: null });
  }

  /** Whether the engine has to wait at its present step. */
  isWaiting(): boolean {
    const { record, engineStep } = this.#state;
    return record === null || this.trimGrant(engineStep) < engineStep;
  }

  /** Whether this rank is bound by a promise whose decision it does not know. */
  isUndecided(): boolean {
    return this.#state.record?.status === 'pending';
  }

  /** Grants a window of steps. @returns null where the engine has to wait */
  grant(): StepGrant | null {
    const { record, engineStep, grantedUntil } = this.#state;
    if (record === null || this.isWaiting()) return null;
    const until = this.trimGrant(engineStep + this.#config.window - 1);
    this.#update({ grantedUntil: Math.max(grantedUntil, until) });
    return {
      until,
      versionBefore: record.previous.version,
      boundary: record.boundary,
      versionFrom: this.chooseVersion(record),
    };
  }

  /** Answers the planner's request to load weights; the caller loads them if nothing is refused. */
  answerPrepare(request: PrepareRequest): PrepareReply {
    const { record, incarnation, grantedUntil, loaded } = this.#state;
    const inForce = this.#getInForce();
    let refusal: RankRefusal | null = null;
    if (record === null || this.#state.source !== 'store') refusal = 'not_ready';
    else if (!this.raiseFloor(request.epoch)) refusal = 'stale_epoch';
    else if (inForce < 0 || request.map.version <= record.map.version) refusal = 'unfinished';
    return {
      rank: this.#config.rank,
      incarnation,
      version: request.map.version,
      refusal,
      isLoaded:
        refusal === null &&
        loaded?.version === request.map.version &&
        loaded.epoch === request.epoch,
      grantedUntil,
      inForce,
    };
  }

  /** Notes that the engine holds the weights that a request asked for beside the running map. */
  confirmLoaded(request: PrepareRequest): void {
    this.#update({ loaded: { version: request.map.version, epoch: request.epoch } });
  }

  /** Answers a pending record with a promise or a refusal. A repeated question is promised again. */
  answerPromise(record: MapRecord): PromiseReply {
    const refusal = this.#checkPromise(record);
    if (refusal === null) this.#update({ record });
    const { incarnation, grantedUntil } = this.#state;
    return {
      rank: this.#config.rank,
      incarnation,
      version: record.map.version,
      refusal,
      grantedUntil,
    };
  }

  /** Takes in a decision from the planner, a peer or the store. */
  learnDecision(record: MapRecord): void {
    const known = this.#state.record;
    if (known === null || !isDecided(record)) return;
    const isNewer =
      record.map.version > known.map.version ||
      (record.map.version === known.map.version && !isDecided(known));
    if (isNewer) this.#update({ record });
    if (isNewer) this.raiseFloor(record.epoch);
  }

  /**
   * Takes in what the store holds, read after the agent's start. A pending record binds a
   * restarted agent, because the agent before it may have promised.
   *
   * @param plannerEpoch epoch of the planner record; at least every epoch that was ever obeyed
   */
  acceptStoreRecord(record: MapRecord, plannerEpoch: Epoch): void {
    const { source, grantedUntil } = this.#state;
    if (source === 'none') this.#update({ record });
    else if (isDecided(record)) this.learnDecision(record);
    else if (source === 'evidence' && grantedUntil < record.boundary) this.#update({ record });
    this.#update({ source: 'store' });
    this.resetFloor(record.epoch, plannerEpoch);
  }

  /** Answers a rank that restarted, and pledges to promise nothing for its earlier incarnations. */
  answerResume(rank: number, incarnation: Incarnation): RankEvidence {
    const seen = [...this.#state.seen];
    seen[rank] = Math.max(seen[rank] ?? 0, incarnation) as Incarnation;
    this.#update({ seen });
    const { source, record } = this.#state;
    return {
      rank: this.#config.rank,
      askedBy: incarnation,
      record: source === 'store' ? record : null,
    };
  }

  /**
   * Resumes without the store on the evidence of all other ranks. Until it has read the store, the
   * agent grants steps but obeys no planner, because it cannot know its floor.
   *
   * @returns whether the agent may grant steps
   */
  acceptEvidence(evidence: readonly RankEvidence[]): boolean {
    const { source, incarnation } = this.#state;
    if (source !== 'none') return true;
    let best: MapRecord | null = null;
    for (let rank = 0; rank < this.#config.ranks; rank += 1) {
      if (rank === this.#config.rank) continue;
      const found = evidence.find((item) => item.rank === rank && item.askedBy === incarnation);
      const record = found?.record ?? null;
      if (record === null) return false;
      const isNewer = best === null || record.map.version > best.map.version;
      if (isNewer || (record.map.version === best?.map.version && isDecided(record))) best = record;
    }
    if (best === null) return false;
    this.#update({ record: best, source: 'evidence' });
    return true;
  }

  /**
   * Builds the record that ends an undecided switch, for a CAS on the record that the store holds.
   *
   * @returns null where nothing is undecided
   */
  buildAbandon(operation: string): MapRecord | null {
    const { record } = this.#state;
    if (record === null || isDecided(record)) return null;
    return { ...record, operation, status: 'abandoned' };
  }

  /** Returns the maps of the known record; null before one is known. */
  getMaps(): { readonly map: ExpertMap; readonly previous: ExpertMap } | null {
    return this.#state.record;
  }

  /** Limits a grant to the steps whose map is known. */
  protected trimGrant(until: number): number {
    const { record } = this.#state;
    if (record === null || isDecided(record)) return until;
    return Math.min(until, record.boundary - 1);
  }

  /** Chooses the version from the boundary on; null while it is undecided. */
  protected chooseVersion(record: MapRecord): number | null {
    if (record.status === 'pending') return null;
    return record.status === 'committed' ? record.map.version : record.previous.version;
  }

  /** Sets the floor after a restart. */
  protected resetFloor(recordEpoch: Epoch, plannerEpoch: Epoch): void {
    this.raiseFloor(Math.max(recordEpoch, plannerEpoch) as Epoch);
  }

  /** Raises the floor. @returns false where the epoch is below it */
  protected raiseFloor(epoch: Epoch): boolean {
    if (epoch < this.#state.floor) return false;
    if (epoch > this.#state.floor) this.#update({ floor: epoch });
    return true;
  }

  /** Whether a record names the incarnations that this rank knows of. */
  protected hasPresentIncarnations(record: MapRecord): boolean {
    const { incarnation, seen } = this.#state;
    if (record.incarnations[this.#config.rank] !== incarnation) return false;
    return record.incarnations.every((named, rank) => named >= (seen[rank] ?? 0));
  }

  #checkPromise(asked: MapRecord): RankRefusal | null {
    const { record, source, loaded, grantedUntil } = this.#state;
    if (record === null || source !== 'store') return 'not_ready';
    if (!this.raiseFloor(asked.epoch)) return 'stale_epoch';
    if (!this.hasPresentIncarnations(asked)) return 'old_incarnation';
    if (record.status === 'pending') {
      return record.operation === asked.operation ? null : 'unfinished';
    }
    const isNext = asked.map.version > record.map.version && asked.status === 'pending';
    if (!isNext || this.#getInForce() !== asked.previous.version) return 'unfinished';
    const isLoaded = loaded?.version === asked.map.version && loaded.epoch === asked.epoch;
    if (!isLoaded) return 'not_loaded';
    return grantedUntil < asked.boundary ? null : 'granted';
  }

  #getInForce(): number {
    const { record, engineStep } = this.#state;
    if (record === null || record.status === 'pending') return -1;
    if (record.status === 'abandoned') return record.previous.version;
    return engineStep >= record.boundary ? record.map.version : -1;
  }

  #update(change: Partial<StepGateState>): void {
    this.#state = { ...this.#state, ...change };
  }
}
