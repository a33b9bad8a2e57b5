import { ManualClock, MapSwitchPlanner, PlannerLease, StepGate } from '@limpetbay/core';
import type {
  Epoch,
  Incarnation,
  MapRecord,
  MapSwitchState,
  PlannerAction,
  PlannerLeaseState,
  PrepareReply,
  PrepareRequest,
  PromiseReply,
  RecoveryReply,
  Revision,
  StepGateState,
} from '@limpetbay/core';

/** A message in transit. `to` is a rank, or the index of a planner for replies to it. */
type Message =
  | {
      readonly kind: 'prepare';
      readonly to: number;
      readonly from: number;
      readonly request: PrepareRequest;
    }
  | {
      readonly kind: 'promise';
      readonly to: number;
      readonly from: number;
      readonly record: MapRecord;
    }
  | { readonly kind: 'tell'; readonly to: number; readonly record: MapRecord }
  | { readonly kind: 'prepared'; readonly to: number; readonly reply: PrepareReply }
  | { readonly kind: 'promised'; readonly to: number; readonly reply: PromiseReply }
  | {
      readonly kind: 'write';
      readonly from: number;
      readonly action: PlannerAction & { kind: 'write' };
    }
  | {
      readonly kind: 'resume';
      readonly to: number;
      readonly from: number;
      readonly incarnation: Incarnation;
    }
  | { readonly kind: 'evidence'; readonly to: number; readonly reply: RecoveryReply };

/** One event that is possible in the current state. */
interface ModelEvent {
  readonly name: string;
  /** Whether the event is a fault or a tick; a run without faults applies none of these. */
  readonly isFault: boolean;
  apply(): void;
}

interface RankState {
  readonly gate: StepGateState;
  /** Map version granted to the engine, by step; the engine keeps grants when its agent restarts. */
  readonly grantedVersions: readonly (number | undefined)[];
  /** Highest planner epoch among the orders that the engine has executed. */
  readonly engineEpoch: number;
  /** Replies received for the recovery request of this incarnation. */
  readonly recoveryReplies: readonly RecoveryReply[];
  readonly hasRequestedRecovery: boolean;
}

interface PlannerState {
  readonly switchState: MapSwitchState;
  readonly lease: PlannerLeaseState;
  /** Model time at which the store expires the lease. */
  readonly storeLeaseUntil: number;
}

/** The group, its planners, its store and the messages in transit. Immutable: events replace it. */
interface ModelState {
  readonly step: number;
  readonly time: number;
  readonly record: MapRecord;
  readonly recordRevision: number;
  readonly plannerEpoch: number;
  readonly plannerRevision: number;
  readonly leaseUntil: number;
  readonly isStoreAvailable: boolean;
  readonly ranks: readonly RankState[];
  readonly planners: readonly PlannerState[];
  readonly messages: readonly Message[];
  readonly faults: number;
  readonly ticks: number;
  readonly outages: number;
  readonly proposals: number;
  /** First invariant that was violated; empty while all hold. */
  readonly violation: string;
}

interface ModelConfig {
  readonly ranks: number;
  readonly planners: number;
  readonly window: number;
  readonly leadSteps: number;
  readonly lastStep: number;
  /** Maximum number of faults, all kinds together. */
  readonly faults: number;
  readonly faultKinds: readonly ('lose' | 'repeat' | 'lose answer' | 'restart')[];
  /** Maximum number of store outages; they don't count as faults. */
  readonly outages: number;
  /**
   * Maximum number of times that the clock advances, and by how many units. The store keeps a
   * lease for four units; its holder uses it for three.
   */
  readonly ticks: number;
  readonly tickLength: number;
  /** Maximum number of switches that the planners start, all planners together. */
  readonly proposals: number;
  /** Whether a request to prepare and its reply are one event, which leaves fewer states. */
  readonly isPrepareAtomic: boolean;
  /** Whether a restarted rank may send recovery requests while the store is available too. */
  readonly isRecoveryAlwaysAllowed: boolean;
  readonly Gate: typeof StepGate;
  readonly Planner: typeof MapSwitchPlanner;
  /** Whether a planner without a lease gets no events; false for planners that ignore their lease. */
  readonly isLeaseChecked: boolean;
}

const idsByContent = new Map<string, number>();
const idsByObject = new WeakMap<object, number>();

/**
 * Returns the same number for immutable objects of equal content. States share most objects, so
 * the cache by object avoids most serialization.
 */
function getId(object: object): number {
  const cached = idsByObject.get(object);
  if (cached !== undefined) return cached;
  const text = JSON.stringify(object);
  const id = idsByContent.get(text) ?? idsByContent.size;
  idsByContent.set(text, id);
  idsByObject.set(object, id);
  return id;
}

const STORE_LEASE_TICKS = 4;
const FIRST_MAP = { version: 1, layers: [] };

/**
 * Model of a group for checking map switches. It runs the real {@link StepGate} and
 * {@link MapSwitchPlanner}, lists the events that are possible and applies them. It reports a
 * violation if a step gets two maps, if an engine executes an order of a planner after one of a
 * newer planner, or if a planner acts after its lease has expired.
 */
export class SwitchModel {
  readonly #config: ModelConfig;

  #state: ModelState;

  constructor(config: ModelConfig, state?: ModelState) {
    this.#config = config;
    this.#state = state ?? SwitchModel.#createState(config);
  }

  getState(): ModelState {
    return this.#state;
  }

  /** Whether the group has run its last step. */
  isDone(): boolean {
    return this.#state.step > this.#config.lastStep;
  }

  /** Lists the events that are possible in the current state; none once the run is done. */
  listEvents(): ModelEvent[] {
    const events: ModelEvent[] = [];
    if (this.isDone()) return events;
    this.#listMessageEvents(events);
    for (const rank of this.#state.ranks.keys()) this.#listRankEvents(events, rank);
    for (const planner of this.#state.planners.keys()) this.#listPlannerEvents(events, planner);
    this.#listGroupEvents(events);
    return events;
  }

  /** Restores a state; the events that were listed in it can be applied again. */
  restore(state: ModelState): void {
    this.#state = state;
  }

  /** Builds a key that is equal for equal states, whatever the order of messages in transit. */
  buildKey(): string {
    const { messages, ranks, planners, record, violation, ...counters } = this.#state;
    const stateIds = [...ranks, ...planners, record].map(getId).join();
    const messageIds = messages.map(getId).sort().join();
    return `${Object.values(counters).map(Number).join()};${stateIds};${messageIds}`;
  }

  /**
   * Removes messages that their receivers would ignore, so that states that differ only in them
   * have equal keys.
   *
   * @returns the state without these messages
   */
  removeIgnoredMessages(): ModelState {
    const { messages, ranks, planners } = this.#state;
    const kept = messages.filter((message) => {
      if (message.kind === 'tell') {
        const record = ranks[message.to]?.gate.record;
        if (record === undefined || record === null) return true;
        const isDecided =
          record.status !== 'pending' || record.map.version > message.record.map.version;
        return !isDecided || record.map.version < message.record.map.version;
      }
      if (message.kind === 'promised') {
        const switchState = planners[message.to]?.switchState;
        if (switchState === undefined || switchState.phase === 'unread') return true;
        return (
          message.reply.version === switchState.record?.map.version &&
          switchState.phase === 'promising'
        );
      }
      return true;
    });
    if (kept.length < messages.length) this.#update({ messages: kept });
    return this.#state;
  }

  static #createState(config: ModelConfig): ModelState {
    const record: MapRecord = {
      epoch: 0 as Epoch,
      operation: 'first',
      status: 'committed',
      boundary: 0,
      incarnations: Array.from({ length: config.ranks }, () => 1 as Incarnation),
      map: FIRST_MAP,
      previous: { version: 0, layers: [] },
    };
    const ranks = Array.from({ length: config.ranks }, (_, rank): RankState => {
      const gateConfig = { rank, ranks: config.ranks, window: config.window };
      const gate = StepGate.createState(gateConfig, 1 as Incarnation, 0);
      return {
        gate: { ...gate, record, source: 'store', grantedUntil: -1 },
        grantedVersions: [],
        engineEpoch: 0,
        recoveryReplies: [],
        hasRequestedRecovery: false,
      };
    });
    const planners = Array.from({ length: config.planners }, (_, planner): PlannerState => ({
      switchState: SwitchModel.#createPlanner(config, planner),
      lease: new PlannerLease(new ManualClock()).getState(),
      storeLeaseUntil: -1,
    }));
    return {
      step: 0,
      time: 0,
      record,
      recordRevision: 1,
      plannerEpoch: 0,
      plannerRevision: 1,
      leaseUntil: 0,
      isStoreAvailable: true,
      ranks,
      planners,
      messages: [],
      faults: 0,
      ticks: 0,
      outages: 0,
      proposals: 0,
      violation: '',
    };
  }

  static #createPlanner(config: ModelConfig, planner: number): MapSwitchState {
    return MapSwitchPlanner.createState({
      ranks: config.ranks,
      leadSteps: config.leadSteps,
      operations: `p${planner}`,
    });
  }

  #update(change: Partial<ModelState>): void {
    this.#state = { ...this.#state, ...change };
  }

  #updateRank(rank: number, change: Partial<RankState>): void {
    const ranks = [...this.#state.ranks];
    const previous = ranks[rank];
    if (previous === undefined) return;
    ranks[rank] = { ...previous, ...change };
    this.#update({ ranks });
  }

  #updatePlanner(planner: number, change: Partial<PlannerState>): void {
    const planners = [...this.#state.planners];
    const previous = planners[planner];
    if (previous === undefined) return;
    planners[planner] = { ...previous, ...change };
    this.#update({ planners });
  }

  #send(messages: readonly Message[]): void {
    if (messages.length > 0) this.#update({ messages: [...this.#state.messages, ...messages] });
  }

  #fail(violation: string): void {
    if (this.#state.violation === '') this.#update({ violation });
  }

  #useGate<T>(rank: number, use: (gate: StepGate) => T): T {
    const { ranks, window, Gate } = this.#config;
    const previous = this.#state.ranks[rank];
    if (previous === undefined) throw new Error(`rank ${rank} does not exist in the model`);
    const gate = new Gate({ rank, ranks, window }, previous.gate);
    const result = use(gate);
    if (gate.getState() !== previous.gate) this.#updateRank(rank, { gate: gate.getState() });
    return result;
  }

  #usePlanner(index: number, use: (planner: MapSwitchPlanner) => PlannerAction[]): void {
    const previous = this.#state.planners[index];
    if (previous === undefined) return;
    const { ranks, Planner, leadSteps } = this.#config;
    const lease = new PlannerLease(new ManualClock(this.#state.time), previous.lease);
    const planner = new Planner(
      { ranks, leadSteps, operations: `p${index}` },
      lease,
      previous.switchState,
    );
    const actions = use(planner);
    const switchState = planner.getState();
    if (switchState !== previous.switchState) this.#updatePlanner(index, { switchState });
    if (actions.length > 0 && this.#state.time >= previous.storeLeaseUntil) {
      this.#fail(`planner ${index} acted after its lease`);
    }
    for (const action of actions) this.#runAction(index, action);
  }

  #runAction(from: number, action: PlannerAction): void {
    switch (action.kind) {
      case 'prepare':
        if (this.#config.isPrepareAtomic) {
          const reply = this.#prepareRank(action.rank, action.request);
          this.#usePlanner(from, (planner) => planner.handlePrepareReply(reply));
        } else {
          this.#send([{ kind: 'prepare', to: action.rank, from, request: action.request }]);
        }
        break;
      case 'promise':
        this.#send([{ kind: 'promise', to: action.rank, from, record: action.record }]);
        break;
      case 'tell':
        this.#send([{ kind: 'tell', to: action.rank, record: action.record }]);
        break;
      case 'write':
        this.#send([{ kind: 'write', from, action }]);
        break;
      default:
    }
  }

  #canInjectFault(kind: ModelConfig['faultKinds'][number]): boolean {
    return this.#state.faults < this.#config.faults && this.#config.faultKinds.includes(kind);
  }

  #listMessageEvents(events: ModelEvent[]): void {
    const { messages, faults } = this.#state;
    for (const [index, message] of messages.entries()) {
      const isWrite = message.kind === 'write';
      if (!isWrite || this.#state.isStoreAvailable) {
        const name = `${message.kind}#${index}`;
        events.push({ name, isFault: false, apply: () => this.#handleMessage(index, true) });
        if (isWrite && this.#canInjectFault('lose answer')) {
          events.push({
            name: `lose answer of ${name}`,
            isFault: true,
            apply: () => {
              this.#update({
                faults: faults + 1,
                messages: messages.filter((_, other) => other !== index),
              });
              this.#applyWrite(message.action);
            },
          });
        }
        if (this.#canInjectFault('repeat')) {
          events.push({
            name: `repeat ${name}`,
            isFault: true,
            apply: () => {
              this.#update({ faults: faults + 1 });
              this.#handleMessage(index, false);
            },
          });
        }
      }
      if (this.#canInjectFault('lose')) {
        events.push({
          name: `lose ${message.kind}#${index}`,
          isFault: true,
          apply: () => {
            this.#update({
              faults: faults + 1,
              messages: messages.filter((_, other) => other !== index),
            });
          },
        });
      }
    }
  }

  #handleMessage(index: number, isRemoved: boolean): void {
    const message = this.#state.messages[index];
    if (message === undefined) return;
    if (isRemoved) this.#update({ messages: this.#state.messages.filter((_, i) => i !== index) });
    switch (message.kind) {
      case 'prepare': {
        const reply = this.#prepareRank(message.to, message.request);
        this.#send([{ kind: 'prepared', to: message.from, reply }]);
        break;
      }
      case 'promise': {
        const reply = this.#useGate(message.to, (gate) => gate.answerPromise(message.record));
        this.#send([{ kind: 'promised', to: message.from, reply }]);
        break;
      }
      case 'tell':
        this.#useGate(message.to, (gate) => gate.handleDecision(message.record));
        break;
      case 'prepared':
        this.#usePlanner(message.to, (planner) => planner.handlePrepareReply(message.reply));
        break;
      case 'promised':
        this.#usePlanner(message.to, (planner) => planner.handlePromiseReply(message.reply));
        break;
      case 'write':
        this.#answerWrite(message.from, message.action);
        break;
      case 'resume': {
        const reply = this.#useGate(message.to, (gate) =>
          gate.answerRecoveryRequest(message.from, message.incarnation),
        );
        this.#send([{ kind: 'evidence', to: message.from, reply }]);
        break;
      }
      default: {
        const received = this.#state.ranks[message.to]?.recoveryReplies ?? [];
        const recoveryReplies = [...received, message.reply];
        this.#updateRank(message.to, { recoveryReplies });
        this.#useGate(message.to, (gate) => gate.handleRecoveryReplies(recoveryReplies));
      }
    }
  }

  #prepareRank(rank: number, request: PrepareRequest): PrepareReply {
    const reply = this.#useGate(rank, (gate) => {
      const firstReply = gate.answerPrepare(request);
      if (firstReply.refusal !== null) return firstReply;
      gate.confirmLoaded(request);
      return gate.answerPrepare(request);
    });
    if (reply.refusal === null) this.#recordEngineOrder(rank, request.epoch);
    return reply;
  }

  /**
   * Records an order that reached the engine. The modelled engine doesn't check fencing numbers, so
   * the agent must keep back the orders of older planners.
   */
  #recordEngineOrder(rank: number, epoch: number): void {
    const newest = this.#state.ranks[rank]?.engineEpoch ?? 0;
    if (epoch < newest) this.#fail(`engine ${rank} ran an order of epoch ${epoch} after ${newest}`);
    if (epoch > newest) this.#updateRank(rank, { engineEpoch: Math.max(newest, epoch) });
  }

  #applyWrite(action: PlannerAction & { kind: 'write' }): Revision | 'conflict' {
    const { recordRevision, plannerRevision } = this.#state;
    const isCurrent =
      action.mapRevision === recordRevision && action.plannerRevision === plannerRevision;
    if (!isCurrent) return 'conflict';
    this.#update({ record: action.record, recordRevision: recordRevision + 1 });
    return (recordRevision + 1) as Revision;
  }

  /**
   * Applies a write and passes its result to the planner in one event. A late result needs no event
   * of its own: it has the same effect as a delay of the messages that follow it.
   */
  #answerWrite(from: number, action: PlannerAction & { kind: 'write' }): void {
    const outcome = this.#applyWrite(action);
    this.#usePlanner(from, (planner) =>
      planner.handleWriteResult(action.record.operation, outcome),
    );
  }

  #listRankEvents(events: ModelEvent[], rank: number): void {
    const state = this.#state.ranks[rank];
    if (state === undefined) return;
    const { ranks, window, Gate } = this.#config;
    const { gate, grantedVersions } = state;
    const probedGate = new Gate({ rank, ranks, window }, gate);
    const grant = probedGate.grant();
    if (grant !== null && grantedVersions[grant.until] === undefined) {
      events.push({ name: `grant ${rank}`, isFault: false, apply: () => this.#grantSteps(rank) });
    }
    const { isStoreAvailable, faults, step, record, plannerEpoch } = this.#state;
    if (gate.source !== 'store') {
      if (isStoreAvailable) {
        const readRecord = (): void => {
          this.#useGate(rank, (target) => target.handleStoreRecord(record, plannerEpoch as Epoch));
        };
        events.push({ name: `read ${rank}`, isFault: false, apply: readRecord });
      }
      const canRequestRecovery = this.#config.isRecoveryAlwaysAllowed || !isStoreAvailable;
      if (!state.hasRequestedRecovery && canRequestRecovery && gate.source === 'none') {
        events.push({
          name: `ask ${rank}`,
          isFault: false,
          apply: () => this.#requestRecovery(rank),
        });
      }
    } else if (probedGate.isUndecided() && isStoreAvailable) {
      events.push({
        name: `query ${rank}`,
        isFault: false,
        apply: () => this.#queryDecision(rank),
      });
      if (record.map.version === gate.record?.map.version && record.status === 'pending') {
        events.push({
          name: `abandon ${rank}`,
          isFault: false,
          apply: () => this.#abortSwitch(rank),
        });
      }
    }
    if (this.#canInjectFault('restart')) {
      events.push({
        name: `restart ${rank}`,
        isFault: true,
        apply: () => {
          const incarnation = (gate.incarnation + 1) as Incarnation;
          const initialGate = StepGate.createState({ rank, ranks, window }, incarnation, step);
          this.#updateRank(rank, {
            gate: initialGate,
            recoveryReplies: [],
            hasRequestedRecovery: false,
          });
          this.#update({ faults: faults + 1 });
        },
      });
    }
  }

  #grantSteps(rank: number): void {
    const grant = this.#useGate(rank, (gate) => gate.grant());
    const state = this.#state.ranks[rank];
    if (grant === null || state === undefined) return;
    const grantedVersions = [...state.grantedVersions];
    for (let { step } = this.#state; step <= grant.until; step += 1) {
      const version = step < grant.boundary ? grant.versionBefore : grant.versionFrom;
      if (grantedVersions[step] !== undefined && grantedVersions[step] !== version) {
        this.#fail(`rank ${rank} granted step ${step} with two maps`);
      }
      grantedVersions[step] = version ?? -1;
    }
    this.#updateRank(rank, { grantedVersions });
  }

  #requestRecovery(rank: number): void {
    const incarnation = this.#state.ranks[rank]?.gate.incarnation;
    if (incarnation === undefined) return;
    this.#updateRank(rank, { hasRequestedRecovery: true });
    for (const to of this.#state.ranks.keys()) {
      if (to !== rank) this.#send([{ kind: 'resume', to, from: rank, incarnation }]);
    }
  }

  #queryDecision(rank: number): void {
    this.#useGate(rank, (gate) => gate.handleDecision(this.#state.record));
  }

  #abortSwitch(rank: number): void {
    const incarnation = this.#state.ranks[rank]?.gate.incarnation ?? 0;
    const abortRecord = this.#useGate(rank, (gate) =>
      gate.buildAbortRecord(`r${rank}/${incarnation}`),
    );
    if (abortRecord === null) return;
    // The rank reads the outcome with a query, so a lost answer needs no event of its own.
    this.#update({
      record: {
        ...this.#state.record,
        operation: abortRecord.operation,
        status: abortRecord.status,
      },
      recordRevision: this.#state.recordRevision + 1,
    });
  }

  #listPlannerEvents(events: ModelEvent[], index: number): void {
    const state = this.#state.planners[index];
    if (state === undefined) return;
    const { time, leaseUntil, isStoreAvailable, messages } = this.#state;
    if (isStoreAvailable && time >= leaseUntil && time >= state.storeLeaseUntil) {
      events.push({
        name: `acquire ${index}`,
        isFault: false,
        apply: () => this.#acquireLease(index),
      });
    }
    const { isLeaseChecked, proposals } = this.#config;
    if (isLeaseChecked && time >= state.lease.heldUntilMs) return;
    const { phase } = state.switchState;
    const isWriteInTransit = messages.some(
      (message) => message.kind === 'write' && message.from === index,
    );
    if (phase === 'idle' && this.#state.proposals < proposals) {
      events.push({
        name: `begin ${index}`,
        isFault: false,
        apply: () => {
          this.#update({ proposals: this.#state.proposals + 1 });
          this.#usePlanner(index, (planner) => planner.startSwitch([]));
        },
      });
    }
    if (phase === 'unread' || (phase === 'writing' && !isWriteInTransit)) {
      if (!isStoreAvailable) return;
      const { record, recordRevision } = this.#state;
      events.push({
        name: `settle ${index}`,
        isFault: false,
        apply: () =>
          this.#usePlanner(index, (planner) =>
            planner.handleStoreRecord(record, recordRevision as Revision),
          ),
      });
    }
    if (phase === 'promising') {
      const handleTimeout = (): void =>
        this.#usePlanner(index, (planner) => planner.handleTimeout());
      events.push({ name: `timeout ${index}`, isFault: false, apply: handleTimeout });
    }
  }

  #acquireLease(index: number): void {
    const { time, plannerEpoch, plannerRevision } = this.#state;
    const lease = new PlannerLease(new ManualClock(time));
    const epoch = (plannerEpoch + 1) as Epoch;
    lease.recordAcquisition(time, STORE_LEASE_TICKS, epoch, (plannerRevision + 1) as Revision);
    this.#updatePlanner(index, {
      switchState: SwitchModel.#createPlanner(this.#config, index),
      lease: lease.getState(),
      storeLeaseUntil: time + STORE_LEASE_TICKS,
    });
    this.#update({
      plannerEpoch: epoch,
      plannerRevision: plannerRevision + 1,
      leaseUntil: time + STORE_LEASE_TICKS,
    });
  }

  #listGroupEvents(events: ModelEvent[]): void {
    const { step, ranks, time, ticks, outages, isStoreAvailable } = this.#state;
    const isStepGranted = ranks.every((rank) => rank.grantedVersions[step] !== undefined);
    if (isStepGranted && !this.isDone()) {
      events.push({ name: 'step', isFault: false, apply: () => this.#runStep() });
    }
    if (ticks < this.#config.ticks) {
      const advanceTime = (): void =>
        this.#update({ time: time + this.#config.tickLength, ticks: ticks + 1 });
      events.push({ name: 'tick', isFault: true, apply: advanceTime });
    }
    if (!isStoreAvailable) {
      const endOutage = (): void => this.#update({ isStoreAvailable: true });
      events.push({ name: 'store up', isFault: false, apply: endOutage });
    } else if (outages < this.#config.outages) {
      const beginOutage = (): void =>
        this.#update({ isStoreAvailable: false, outages: outages + 1 });
      events.push({ name: 'store down', isFault: true, apply: beginOutage });
    }
  }

  #runStep(): void {
    const { step } = this.#state;
    const versions = this.#state.ranks.map((rank) => rank.grantedVersions[step]);
    if (new Set(versions).size > 1) this.#fail(`step ${step} ran with maps ${versions.join(', ')}`);
    this.#update({ step: step + 1 });
    for (const rank of versions.keys()) this.#useGate(rank, (gate) => gate.handleStep(step + 1));
  }
}
