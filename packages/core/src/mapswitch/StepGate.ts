import type { ExpertMap } from '../experts/ExpertMap.js';
import type { Epoch } from '../ids/Epoch.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { MapRecord } from './MapRecord.js';
import type { PrepareReply } from './PrepareReply.js';
import type { PrepareRequest } from './PrepareRequest.js';
import type { PromiseReply } from './PromiseReply.js';
import type { RecoveryReply } from './RecoveryReply.js';
import type { RankRefusal } from './RankRefusal.js';
import type { StepGateState } from './StepGateState.js';
import type { StepGrant } from './StepGrant.js';

interface StepGateConfig {
  readonly rank: number;
  readonly ranks: number;
  /** Number of steps granted ahead of the engine's step. */
  readonly window: number;
}

function isDecided(record: MapRecord): boolean {
  return record.status !== 'pending';
}

/**
 * Rank side of the two-phase map switch, as a state machine: decides up to which step the engine
 * may run, and with which map. Grants no step at or after the boundary of an undecided record.
 */
export class StepGate {
  readonly #config: StepGateConfig;

  #state: StepGateState;

  constructor(config: StepGateConfig, state: StepGateState) {
    this.#config = config;
    this.#state = state;
  }

  /**
   * Creates the state of an agent that has just started. The engine may hold grants of the previous
   * agent process, or receive delayed ones, but none beyond a window from its step.
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
      minEpoch: 0 as Epoch,
      source: 'none',
      record: null,
      loadedWeights: null,
      newestIncarnations: Array.from({ length: config.ranks }, () => 0 as Incarnation),
      stalledSteps: 0,
    };
  }

  getState(): StepGateState {
    return this.#state;
  }

  /** Records the next step that the engine runs; steps never decrease. */
  handleStep(engineStep: number): void {
    if (engineStep > this.#state.engineStep) this.#update({ engineStep });
  }

  /** Records that the engine waited for the duration of a step because none was granted. */
  recordStall(): void {
    this.#update({ stalledSteps: this.#state.stalledSteps + 1 });
  }

  /** Handles an engine restart: loaded weights are lost, the agent's promise remains. */
  handleEngineRestart(incarnation: Incarnation): void {
    this.#update({ incarnation, loadedWeights: null });
  }

  /** Whether the engine must wait at its current step. */
  isWaiting(): boolean {
    const { record, engineStep } = this.#state;
    return record === null || this.trimGrant(engineStep) < engineStep;
  }

  /** Whether this rank is bound by a promise and does not know the decision. */
  isUndecided(): boolean {
    return this.#state.record?.status === 'pending';
  }

  /** Grants a window of steps. @returns null if the engine must wait */
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

  /** Answers the planner's request to load weights; unless refused, the caller loads them. */
  answerPrepare(request: PrepareRequest): PrepareReply {
    const { record, incarnation, grantedUntil, loadedWeights } = this.#state;
    const inForce = this.#getActiveVersion();
    let refusal: RankRefusal | null = null;
    if (record === null || this.#state.source !== 'store') refusal = 'not_ready';
    else if (!this.raiseMinEpoch(request.epoch)) refusal = 'stale_epoch';
    else if (inForce < 0 || request.map.version <= record.map.version) refusal = 'unfinished';
    return {
      rank: this.#config.rank,
      incarnation,
      version: request.map.version,
      refusal,
      isLoaded:
        refusal === null &&
        loadedWeights?.version === request.map.version &&
        loadedWeights.epoch === request.epoch,
      grantedUntil,
      inForce,
    };
  }

  /** Records that the engine has loaded the requested weights in addition to its current ones. */
  confirmLoaded(request: PrepareRequest): void {
    this.#update({ loadedWeights: { version: request.map.version, epoch: request.epoch } });
  }

  /** Answers a pending record with a promise or a refusal. A repeated request is promised again. */
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

  /** Handles a decision from the planner, a peer or the store. */
  handleDecision(record: MapRecord): void {
    const current = this.#state.record;
    if (current === null || !isDecided(record)) return;
    const isNewer =
      record.map.version > current.map.version ||
      (record.map.version === current.map.version && !isDecided(current));
    if (isNewer) this.#update({ record });
    if (isNewer) this.raiseMinEpoch(record.epoch);
  }

  /**
   * Handles the record read from the store after the agent's start. A pending record binds a
   * restarted agent, because the previous agent process may have promised it.
   *
   * @param plannerEpoch epoch of the planner record; not below any epoch accepted before
   */
  handleStoreRecord(record: MapRecord, plannerEpoch: Epoch): void {
    const { source, grantedUntil } = this.#state;
    if (source === 'none') this.#update({ record });
    else if (isDecided(record)) this.handleDecision(record);
    else if (source === 'peers' && grantedUntil < record.boundary) this.#update({ record });
    this.#update({ source: 'store' });
    this.resetMinEpoch(record.epoch, plannerEpoch);
  }

  /** Answers a rank that restarted, and promises to refuse records of its earlier incarnations. */
  answerRecoveryRequest(rank: number, incarnation: Incarnation): RecoveryReply {
    const newestIncarnations = [...this.#state.newestIncarnations];
    newestIncarnations[rank] = Math.max(newestIncarnations[rank] ?? 0, incarnation) as Incarnation;
    this.#update({ newestIncarnations });
    const { source, record } = this.#state;
    return {
      rank: this.#config.rank,
      askedBy: incarnation,
      record: source === 'store' ? record : null,
    };
  }

  /**
   * Recovers the record without the store, from the replies of all other ranks. Until it has read
   * the store, the agent grants steps but refuses planners, because it does not know its minimum
   * epoch.
   *
   * @returns whether the agent may grant steps
   */
  handleRecoveryReplies(replies: readonly RecoveryReply[]): boolean {
    const { source, incarnation } = this.#state;
    if (source !== 'none') return true;
    let best: MapRecord | null = null;
    for (let rank = 0; rank < this.#config.ranks; rank += 1) {
      if (rank === this.#config.rank) continue;
      const reply = replies.find((entry) => entry.rank === rank && entry.askedBy === incarnation);
      const record = reply?.record ?? null;
      if (record === null) return false;
      const isNewer = best === null || record.map.version > best.map.version;
      if (isNewer || (record.map.version === best?.map.version && isDecided(record))) best = record;
    }
    if (best === null) return false;
    this.#update({ record: best, source: 'peers' });
    return true;
  }

  /**
   * Builds the record that aborts an undecided switch, for a compare-and-swap of the stored record.
   *
   * @returns null if no switch is undecided
   */
  buildAbortRecord(operation: string): MapRecord | null {
    const { record } = this.#state;
    if (record === null || isDecided(record)) return null;
    return { ...record, operation, status: 'abandoned' };
  }

  /** Returns the maps of the known record; null if none is known. */
  getMaps(): { readonly map: ExpertMap; readonly previous: ExpertMap } | null {
    return this.#state.record;
  }

  /** Limits a grant to the steps whose map is known. */
  protected trimGrant(until: number): number {
    const { record } = this.#state;
    if (record === null || isDecided(record)) return until;
    return Math.min(until, record.boundary - 1);
  }

  /** Returns the map version from the boundary on; null while it is undecided. */
  protected chooseVersion(record: MapRecord): number | null {
    if (record.status === 'pending') return null;
    return record.status === 'committed' ? record.map.version : record.previous.version;
  }

  /** Sets the minimum epoch after a restart. */
  protected resetMinEpoch(recordEpoch: Epoch, plannerEpoch: Epoch): void {
    this.raiseMinEpoch(Math.max(recordEpoch, plannerEpoch) as Epoch);
  }

  /** Raises the minimum epoch. @returns false if the epoch is below it */
  protected raiseMinEpoch(epoch: Epoch): boolean {
    if (epoch < this.#state.minEpoch) return false;
    if (epoch > this.#state.minEpoch) this.#update({ minEpoch: epoch });
    return true;
  }

  /** Whether a record names this rank's incarnation, and of the others none that has expired. */
  protected hasCurrentIncarnations(record: MapRecord): boolean {
    const { incarnation, newestIncarnations } = this.#state;
    if (record.incarnations[this.#config.rank] !== incarnation) return false;
    return record.incarnations.every(
      (namedIncarnation, rank) => namedIncarnation >= (newestIncarnations[rank] ?? 0),
    );
  }

  #checkPromise(proposed: MapRecord): RankRefusal | null {
    const { record, source, loadedWeights, grantedUntil } = this.#state;
    if (record === null || source !== 'store') return 'not_ready';
    if (!this.raiseMinEpoch(proposed.epoch)) return 'stale_epoch';
    if (!this.hasCurrentIncarnations(proposed)) return 'old_incarnation';
    if (record.status === 'pending') {
      return record.operation === proposed.operation ? null : 'unfinished';
    }
    const isNext = proposed.map.version > record.map.version && proposed.status === 'pending';
    if (!isNext || this.#getActiveVersion() !== proposed.previous.version) return 'unfinished';
    const isLoaded =
      loadedWeights?.version === proposed.map.version && loadedWeights.epoch === proposed.epoch;
    if (!isLoaded) return 'not_loaded';
    return grantedUntil < proposed.boundary ? null : 'granted';
  }

  #getActiveVersion(): number {
    const { record, engineStep } = this.#state;
    if (record === null || record.status === 'pending') return -1;
    if (record.status === 'abandoned') return record.previous.version;
    return engineStep >= record.boundary ? record.map.version : -1;
  }

  #update(change: Partial<StepGateState>): void {
    this.#state = { ...this.#state, ...change };
  }
}
