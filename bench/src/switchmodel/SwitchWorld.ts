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

/** A message on its way. `to` is a rank, or a planner for replies and write outcomes. */
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
  | { readonly kind: 'evidence'; readonly to: number; readonly evidence: RecoveryReply };

/** One event that may happen next. */
interface WorldEvent {
  readonly name: string;
  /** Whether it is a fault; a recovery run takes none. */
  readonly isFault: boolean;
  apply(): void;
}

interface RankState {
  readonly gate: StepGateState;
  /** Version by step that the engine was granted; grants outlive the agent. */
  readonly versions: readonly (number | undefined)[];
  /** Highest planner epoch that the engine has seen. */
  readonly engineEpoch: number;
  readonly evidence: readonly RecoveryReply[];
  readonly hasAsked: boolean;
}

interface PlannerState {
  readonly machine: MapSwitchState;
  readonly lease: PlannerLeaseState;
  /** Store time at which the store ends the lease. */
  readonly storeUntil: number;
}

/** The whole group, its planners, its store and the messages on their way. Never changed in place. */
interface WorldState {
  readonly step: number;
  readonly time: number;
  readonly record: MapRecord;
  readonly recordRevision: number;
  readonly plannerEpoch: number;
  readonly plannerRevision: number;
  readonly leaseUntil: number;
  readonly isStoreUp: boolean;
  readonly ranks: readonly RankState[];
  readonly planners: readonly PlannerState[];
  readonly net: readonly Message[];
  readonly faults: number;
  readonly ticks: number;
  readonly outages: number;
  readonly proposals: number;
  /** What went wrong; empty while every invariant holds. */
  readonly violation: string;
}

interface WorldConfig {
  readonly ranks: number;
  readonly planners: number;
  readonly window: number;
  readonly leadSteps: number;
  readonly lastStep: number;
  /** How many faults may happen, all kinds together. */
  readonly faults: number;
  readonly faultKinds: readonly ('lose' | 'repeat' | 'lose answer' | 'restart')[];
  readonly outages: number;
  /** Advances of the time, and their length. A lease lasts four units; its holder uses three. */
  readonly ticks: number;
  readonly tickLength: number;
  readonly proposals: number;
  /** Whether ranks answer a request to prepare at once; leaves fewer states. */
  readonly isPrepareAtomic: boolean;
  /** Whether a restarted rank asks its peers also while the store answers. */
  readonly isAskFree: boolean;
  readonly Gate: typeof StepGate;
  readonly Planner: typeof MapSwitchPlanner;
  /** Whether a planner whose lease has ended must not act; off for a broken planner too. */
  readonly isLeaseChecked: boolean;
}

const ids = new Map<string, number>();
const idsByObject = new WeakMap<object, number>();

/** Numbers an immutable object by its contents. States share objects, so most are known. */
function getId(object: object): number {
  const known = idsByObject.get(object);
  if (known !== undefined) return known;
  const text = JSON.stringify(object);
  const id = ids.get(text) ?? ids.size;
  ids.set(text, id);
  idsByObject.set(object, id);
  return id;
}

const LEASE_TICKS = 4;
const FIRST_MAP = { version: 1, layers: [] };

/**
 * A model of a group around the real state machines: lists what may happen next and applies it.
 * Checks after each event that a step has one map, that no engine obeys a planner after a newer
 * one, and that no planner acts after its lease.
 */
export class SwitchWorld {
  readonly #config: WorldConfig;

  #state: WorldState;

  constructor(config: WorldConfig, state?: WorldState) {
    this.#config = config;
    this.#state = state ?? SwitchWorld.#createState(config);
  }

  getState(): WorldState {
    return this.#state;
  }

  /** Whether every step of the run is done. */
  isDone(): boolean {
    return this.#state.step > this.#config.lastStep;
  }

  /** Lists the events that may happen next. */
  listEvents(): WorldEvent[] {
    const events: WorldEvent[] = [];
    if (this.isDone()) return events;
    this.#listNetEvents(events);
    for (const rank of this.#state.ranks.keys()) this.#listRankEvents(events, rank);
    for (const planner of this.#state.planners.keys()) this.#listPlannerEvents(events, planner);
    this.#listGroupEvents(events);
    return events;
  }

  /** Goes back to a state of this world; events that were listed for it hold again. */
  reset(state: WorldState): void {
    this.#state = state;
  }

  /** Builds a key that is equal for equal states. */
  buildKey(): string {
    const { net, ranks, planners, record, violation, ...rest } = this.#state;
    const parts = [...ranks, ...planners, record].map(getId).join();
    const messages = net.map(getId).sort().join();
    return `${Object.values(rest).map(Number).join()};${parts};${messages}`;
  }

  /** Drops messages whose receiver will never act on them, so that equal states look equal. */
  trim(): WorldState {
    const { net, ranks, planners } = this.#state;
    const kept = net.filter((message) => {
      if (message.kind === 'tell') {
        const known = ranks[message.to]?.gate.record;
        if (known === undefined || known === null) return true;
        const isKnown =
          known.status !== 'pending' || known.map.version > message.record.map.version;
        return !isKnown || known.map.version < message.record.map.version;
      }
      if (message.kind === 'promised') {
        const machine = planners[message.to]?.machine;
        if (machine === undefined || machine.phase === 'unread') return true;
        return (
          message.reply.version === machine.record?.map.version && machine.phase === 'promising'
        );
      }
      return true;
    });
    if (kept.length < net.length) this.#update({ net: kept });
    return this.#state;
  }

  static #createState(config: WorldConfig): WorldState {
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
        versions: [],
        engineEpoch: 0,
        evidence: [],
        hasAsked: false,
      };
    });
    const planners = Array.from({ length: config.planners }, (_, planner): PlannerState => ({
      machine: SwitchWorld.#createPlanner(config, planner),
      lease: new PlannerLease(new ManualClock()).getState(),
      storeUntil: -1,
    }));
    return {
      step: 0,
      time: 0,
      record,
      recordRevision: 1,
      plannerEpoch: 0,
      plannerRevision: 1,
      leaseUntil: 0,
      isStoreUp: true,
      ranks,
      planners,
      net: [],
      faults: 0,
      ticks: 0,
      outages: 0,
      proposals: 0,
      violation: '',
    };
  }

  static #createPlanner(config: WorldConfig, planner: number): MapSwitchState {
    return MapSwitchPlanner.createState({
      ranks: config.ranks,
      leadSteps: config.leadSteps,
      operations: `p${planner}`,
    });
  }

  #update(change: Partial<WorldState>): void {
    this.#state = { ...this.#state, ...change };
  }

  #updateRank(rank: number, change: Partial<RankState>): void {
    const ranks = [...this.#state.ranks];
    const old = ranks[rank];
    if (old === undefined) return;
    ranks[rank] = { ...old, ...change };
    this.#update({ ranks });
  }

  #updatePlanner(planner: number, change: Partial<PlannerState>): void {
    const planners = [...this.#state.planners];
    const old = planners[planner];
    if (old === undefined) return;
    planners[planner] = { ...old, ...change };
    this.#update({ planners });
  }

  #send(messages: readonly Message[]): void {
    if (messages.length > 0) this.#update({ net: [...this.#state.net, ...messages] });
  }

  #fail(violation: string): void {
    if (this.#state.violation === '') this.#update({ violation });
  }

  #useGate<T>(rank: number, use: (gate: StepGate) => T): T {
    const { ranks, window, Gate } = this.#config;
    const old = this.#state.ranks[rank];
    if (old === undefined) throw new Error(`no rank ${rank}`);
    const gate = new Gate({ rank, ranks, window }, old.gate);
    const result = use(gate);
    if (gate.getState() !== old.gate) this.#updateRank(rank, { gate: gate.getState() });
    return result;
  }

  #usePlanner(index: number, use: (planner: MapSwitchPlanner) => PlannerAction[]): void {
    const old = this.#state.planners[index];
    if (old === undefined) return;
    const { ranks, Planner, leadSteps } = this.#config;
    const lease = new PlannerLease(new ManualClock(this.#state.time), old.lease);
    const planner = new Planner({ ranks, leadSteps, operations: `p${index}` }, lease, old.machine);
    const actions = use(planner);
    const machine = planner.getState();
    if (machine !== old.machine) this.#updatePlanner(index, { machine });
    if (actions.length > 0 && this.#state.time >= old.storeUntil) {
      this.#fail(`planner ${index} acted after its lease`);
    }
    for (const action of actions) this.#runAction(index, action);
  }

  #runAction(from: number, action: PlannerAction): void {
    switch (action.kind) {
      case 'prepare':
        if (this.#config.isPrepareAtomic) {
          const reply = this.#load(action.rank, action.request);
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

  #isFaulty(kind: WorldConfig['faultKinds'][number]): boolean {
    return this.#state.faults < this.#config.faults && this.#config.faultKinds.includes(kind);
  }

  #listNetEvents(events: WorldEvent[]): void {
    const { net, faults } = this.#state;
    for (const [index, message] of net.entries()) {
      const isStore = message.kind === 'write';
      if (!isStore || this.#state.isStoreUp) {
        const name = `${message.kind}#${index}`;
        events.push({ name, isFault: false, apply: () => this.#handOver(index, true) });
        if (isStore && this.#isFaulty('lose answer')) {
          events.push({
            name: `lose answer of ${name}`,
            isFault: true,
            apply: () => {
              this.#update({ faults: faults + 1, net: net.filter((_, other) => other !== index) });
              this.#applyWrite(message.action);
            },
          });
        }
        if (this.#isFaulty('repeat')) {
          events.push({
            name: `repeat ${name}`,
            isFault: true,
            apply: () => {
              this.#update({ faults: faults + 1 });
              this.#handOver(index, false);
            },
          });
        }
      }
      if (this.#isFaulty('lose')) {
        events.push({
          name: `lose ${message.kind}#${index}`,
          isFault: true,
          apply: () => {
            this.#update({ faults: faults + 1, net: net.filter((_, other) => other !== index) });
          },
        });
      }
    }
  }

  #handOver(index: number, isLast: boolean): void {
    const message = this.#state.net[index];
    if (message === undefined) return;
    if (isLast) this.#update({ net: this.#state.net.filter((_, other) => other !== index) });
    switch (message.kind) {
      case 'prepare': {
        const reply = this.#load(message.to, message.request);
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
        const evidence = this.#useGate(message.to, (gate) =>
          gate.answerRecoveryRequest(message.from, message.incarnation),
        );
        this.#send([{ kind: 'evidence', to: message.from, evidence }]);
        break;
      }
      default: {
        const known = this.#state.ranks[message.to]?.evidence ?? [];
        const evidence = [...known, message.evidence];
        this.#updateRank(message.to, { evidence });
        this.#useGate(message.to, (gate) => gate.handleRecoveryReplies(evidence));
      }
    }
  }

  #load(rank: number, request: PrepareRequest): PrepareReply {
    const reply = this.#useGate(rank, (gate) => {
      const first = gate.answerPrepare(request);
      if (first.refusal !== null) return first;
      gate.confirmLoaded(request);
      return gate.answerPrepare(request);
    });
    if (reply.refusal === null) this.#obey(rank, request.epoch);
    return reply;
  }

  /** An engine that ignores fencing numbers does what it is told; the order is the agent's duty. */
  #obey(rank: number, epoch: number): void {
    const seen = this.#state.ranks[rank]?.engineEpoch ?? 0;
    if (epoch < seen) this.#fail(`engine ${rank} obeyed epoch ${epoch} after ${seen}`);
    if (epoch > seen) this.#updateRank(rank, { engineEpoch: Math.max(seen, epoch) });
  }

  #applyWrite(action: PlannerAction & { kind: 'write' }): Revision | 'conflict' {
    const { recordRevision, plannerRevision } = this.#state;
    const isMet =
      action.mapRevision === recordRevision && action.plannerRevision === plannerRevision;
    if (!isMet) return 'conflict';
    this.#update({ record: action.record, recordRevision: recordRevision + 1 });
    return (recordRevision + 1) as Revision;
  }

  /** Applies a write and hands its answer over; a late answer is the same as late messages after it. */
  #answerWrite(from: number, action: PlannerAction & { kind: 'write' }): void {
    const outcome = this.#applyWrite(action);
    this.#usePlanner(from, (planner) =>
      planner.handleWriteResult(action.record.operation, outcome),
    );
  }

  #listRankEvents(events: WorldEvent[], rank: number): void {
    const state = this.#state.ranks[rank];
    if (state === undefined) return;
    const { ranks, window, Gate } = this.#config;
    const { gate, versions } = state;
    const probe = new Gate({ rank, ranks, window }, gate);
    const grant = probe.grant();
    if (grant !== null && versions[grant.until] === undefined) {
      events.push({ name: `grant ${rank}`, isFault: false, apply: () => this.#grant(rank) });
    }
    const { isStoreUp, faults, step, record, plannerEpoch } = this.#state;
    if (gate.source !== 'store') {
      if (isStoreUp) {
        const read = (): void => {
          this.#useGate(rank, (it) => it.handleStoreRecord(record, plannerEpoch as Epoch));
        };
        events.push({ name: `read ${rank}`, isFault: false, apply: read });
      }
      const mayAsk = this.#config.isAskFree || !isStoreUp;
      if (!state.hasAsked && mayAsk && gate.source === 'none') {
        events.push({ name: `ask ${rank}`, isFault: false, apply: () => this.#askPeers(rank) });
      }
    } else if (probe.isUndecided() && isStoreUp) {
      events.push({ name: `query ${rank}`, isFault: false, apply: () => this.#query(rank) });
      if (record.map.version === gate.record?.map.version && record.status === 'pending') {
        events.push({ name: `abandon ${rank}`, isFault: false, apply: () => this.#abandon(rank) });
      }
    }
    if (this.#isFaulty('restart')) {
      events.push({
        name: `restart ${rank}`,
        isFault: true,
        apply: () => {
          const incarnation = (gate.incarnation + 1) as Incarnation;
          const fresh = StepGate.createState({ rank, ranks, window }, incarnation, step);
          this.#updateRank(rank, { gate: fresh, evidence: [], hasAsked: false });
          this.#update({ faults: faults + 1 });
        },
      });
    }
  }

  #grant(rank: number): void {
    const grant = this.#useGate(rank, (gate) => gate.grant());
    const state = this.#state.ranks[rank];
    if (grant === null || state === undefined) return;
    const versions = [...state.versions];
    for (let { step } = this.#state; step <= grant.until; step += 1) {
      const version = step < grant.boundary ? grant.versionBefore : grant.versionFrom;
      if (versions[step] !== undefined && versions[step] !== version) {
        this.#fail(`rank ${rank} granted step ${step} with two maps`);
      }
      versions[step] = version ?? -1;
    }
    this.#updateRank(rank, { versions });
  }

  #askPeers(rank: number): void {
    const incarnation = this.#state.ranks[rank]?.gate.incarnation;
    if (incarnation === undefined) return;
    this.#updateRank(rank, { hasAsked: true });
    for (const to of this.#state.ranks.keys()) {
      if (to !== rank) this.#send([{ kind: 'resume', to, from: rank, incarnation }]);
    }
  }

  #query(rank: number): void {
    this.#useGate(rank, (gate) => gate.handleDecision(this.#state.record));
  }

  #abandon(rank: number): void {
    const incarnation = this.#state.ranks[rank]?.gate.incarnation ?? 0;
    const next = this.#useGate(rank, (gate) => gate.buildAbortRecord(`r${rank}/${incarnation}`));
    if (next === null) return;
    // The rank learns the outcome by a query, so a lost answer needs no event of its own.
    this.#update({
      record: { ...this.#state.record, operation: next.operation, status: next.status },
      recordRevision: this.#state.recordRevision + 1,
    });
  }

  #listPlannerEvents(events: WorldEvent[], index: number): void {
    const state = this.#state.planners[index];
    if (state === undefined) return;
    const { time, leaseUntil, isStoreUp, net } = this.#state;
    if (isStoreUp && time >= leaseUntil && time >= state.storeUntil) {
      events.push({ name: `acquire ${index}`, isFault: false, apply: () => this.#acquire(index) });
    }
    const { isLeaseChecked, proposals } = this.#config;
    if (isLeaseChecked && time >= state.lease.heldUntilMs) return;
    const { phase } = state.machine;
    const isWaiting = net.some((message) => message.kind === 'write' && message.from === index);
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
    if (phase === 'unread' || (phase === 'writing' && !isWaiting)) {
      if (!isStoreUp) return;
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

  #acquire(index: number): void {
    const { time, plannerEpoch, plannerRevision } = this.#state;
    const lease = new PlannerLease(new ManualClock(time));
    const epoch = (plannerEpoch + 1) as Epoch;
    lease.recordAcquisition(time, LEASE_TICKS, epoch, (plannerRevision + 1) as Revision);
    this.#updatePlanner(index, {
      machine: SwitchWorld.#createPlanner(this.#config, index),
      lease: lease.getState(),
      storeUntil: time + LEASE_TICKS,
    });
    this.#update({
      plannerEpoch: epoch,
      plannerRevision: plannerRevision + 1,
      leaseUntil: time + LEASE_TICKS,
    });
  }

  #listGroupEvents(events: WorldEvent[]): void {
    const { step, ranks, time, ticks, outages, isStoreUp } = this.#state;
    const isReady = ranks.every((rank) => rank.versions[step] !== undefined);
    if (isReady && !this.isDone()) {
      events.push({ name: 'step', isFault: false, apply: () => this.#runStep() });
    }
    if (ticks < this.#config.ticks) {
      const tick = (): void =>
        this.#update({ time: time + this.#config.tickLength, ticks: ticks + 1 });
      events.push({ name: 'tick', isFault: true, apply: tick });
    }
    if (!isStoreUp) {
      const end = (): void => this.#update({ isStoreUp: true });
      events.push({ name: 'store up', isFault: false, apply: end });
    } else if (outages < this.#config.outages) {
      const begin = (): void => this.#update({ isStoreUp: false, outages: outages + 1 });
      events.push({ name: 'store down', isFault: true, apply: begin });
    }
  }

  #runStep(): void {
    const { step } = this.#state;
    const versions = this.#state.ranks.map((rank) => rank.versions[step]);
    if (new Set(versions).size > 1) this.#fail(`step ${step} ran with maps ${versions.join(', ')}`);
    this.#update({ step: step + 1 });
    for (const rank of versions.keys()) this.#useGate(rank, (gate) => gate.handleStep(step + 1));
  }
}
