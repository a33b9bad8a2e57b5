import type { ExpertMap } from '../experts/ExpertMap.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { Revision } from '../ids/Revision.js';
import type { MapRecord } from './MapRecord.js';
import type { MapSwitchState } from './MapSwitchState.js';
import type { PlannerAction } from './PlannerAction.js';
import type { PlannerLease } from './PlannerLease.js';
import type { PrepareReply } from './PrepareReply.js';
import type { PromiseReply } from './PromiseReply.js';

interface MapSwitchConfig {
  readonly ranks: number;
  /** Steps between the last granted step and the boundary; leaves time to prepare and decide. */
  readonly leadSteps: number;
  /** Prefix of operation ids; unique for each process start. */
  readonly operations: string;
}

/**
 * Planner side of the two-phase map switch, as a state machine. Each method handles an event and
 * returns the actions to run next; none once the planner no longer holds the lease.
 */
export class MapSwitchPlanner {
  readonly #config: MapSwitchConfig;

  readonly #lease: PlannerLease;

  #state: MapSwitchState;

  constructor(config: MapSwitchConfig, lease: PlannerLease, state?: MapSwitchState) {
    this.#config = config;
    this.#lease = lease;
    this.#state = state ?? MapSwitchPlanner.createState(config);
  }

  static createState(config: MapSwitchConfig): MapSwitchState {
    return {
      phase: 'unread',
      record: null,
      revision: 0 as Revision,
      lastProposedVersion: 0,
      proposedMap: null,
      prepareReplies: Array.from({ length: config.ranks }, () => null),
      promised: Array.from({ length: config.ranks }, () => false),
      write: null,
    };
  }

  getState(): MapSwitchState {
    return this.#state;
  }

  /** Starts a switch to a new map. Has no effect while another switch is in progress. */
  startSwitch(layers: ExpertMap['layers']): PlannerAction[] {
    const { record, phase } = this.#state;
    if (!this.isLeaseHeld() || phase !== 'idle' || record === null) return [];
    const version = Math.max(record.map.version, this.#state.lastProposedVersion) + 1;
    const proposedMap = { version, layers };
    this.#update({
      phase: 'preparing',
      lastProposedVersion: version,
      proposedMap,
      prepareReplies: this.#state.prepareReplies.map(() => null),
      promised: this.#state.promised.map(() => false),
    });
    return this.#requestPrepare(() => true);
  }

  /** Handles a rank's reply to a prepare request. */
  handlePrepareReply(reply: PrepareReply): PlannerAction[] {
    const { phase, proposedMap, record } = this.#state;
    if (!this.isLeaseHeld() || phase !== 'preparing' || record === null) return [];
    if (proposedMap === null || reply.version !== proposedMap.version) return [];
    if (
      reply.refusal !== null ||
      !reply.isLoaded ||
      reply.inForce !== this.#getActiveVersion(record)
    ) {
      return [];
    }
    const prepareReplies = [...this.#state.prepareReplies];
    prepareReplies[reply.rank] = reply;
    this.#update({ prepareReplies });
    const prepared = prepareReplies.filter((entry) => entry !== null);
    if (prepared.length < prepareReplies.length) return [];
    const lastGrantedStep = Math.max(...prepared.map((entry) => entry.grantedUntil));
    return this.#write({
      epoch: this.#lease.getState().epoch,
      operation: this.#createOperationId('intent', proposedMap.version),
      status: 'pending',
      boundary: lastGrantedStep + 1 + this.#config.leadSteps,
      incarnations: prepared.map((entry): Incarnation => entry.incarnation),
      map: proposedMap,
      previous: record.status === 'committed' ? record.map : record.previous,
    });
  }

  /** Handles a rank's reply to the pending record. */
  handlePromiseReply(reply: PromiseReply): PlannerAction[] {
    const { phase, record } = this.#state;
    if (!this.isLeaseHeld() || phase !== 'promising' || record === null) return [];
    if (reply.version !== record.map.version) return [];
    if (reply.refusal !== null) return this.#writeDecision('abandoned');
    if (!this.isCurrentPromise(reply, record)) return [];
    const promised = [...this.#state.promised];
    promised[reply.rank] = true;
    this.#update({ promised });
    return this.hasEnoughPromises(promised) ? this.#writeDecision('committed') : [];
  }

  /**
   * Handles the result of a write.
   *
   * @param outcome the revision of the write, `conflict` if a condition failed, or `unknown`
   */
  handleWriteResult(
    operation: string,
    outcome: Revision | 'conflict' | 'unknown',
  ): PlannerAction[] {
    const { phase, write } = this.#state;
    if (!this.isLeaseHeld() || phase !== 'writing' || write?.operation !== operation) return [];
    if (outcome === 'conflict' || outcome === 'unknown') return [{ kind: 'read' }];
    return this.#applyStoredRecord(write, outcome);
  }

  /** Handles the map record read from the store; resolves a write whose outcome was unknown. */
  handleStoreRecord(record: MapRecord, revision: Revision): PlannerAction[] {
    const { phase, write } = this.#state;
    if (!this.isLeaseHeld() || revision < this.#state.revision) return [];
    if (phase === 'writing' && write !== null) {
      if (record.operation === write.operation) return this.#applyStoredRecord(write, revision);
      // The write has not taken effect so far. It is sent again; the first copy to arrive wins.
      if (revision === this.#state.revision) return [this.#buildWrite(write)];
    } else if (phase !== 'unread') {
      return [];
    }
    return this.#applyStoredRecord(record, revision);
  }

  /** Handles a timeout of the current phase: reads the record again, or aborts the switch. */
  handleTimeout(): PlannerAction[] {
    if (!this.isLeaseHeld()) return [];
    switch (this.#state.phase) {
      case 'unread':
      case 'writing':
        return [{ kind: 'read' }];
      case 'promising':
        return this.#writeDecision('abandoned');
      default:
        return [];
    }
  }

  /** Repeats the prepare request to ranks without loaded weights; loading takes many seconds. */
  retryPrepare(): PlannerAction[] {
    if (!this.isLeaseHeld() || this.#state.phase !== 'preparing') return [];
    return this.#requestPrepare((rank) => this.#state.prepareReplies[rank] === null);
  }

  /** Cancels a switch whose record has not been written yet. */
  cancel(): void {
    if (this.#state.phase === 'preparing') this.#update({ phase: 'idle', proposedMap: null });
  }

  /** Whether the planner holds the lease; checked before each action. */
  protected isLeaseHeld(): boolean {
    return this.#lease.isHeld();
  }

  /** Whether a promise is from the incarnation that the record names. Only those count. */
  protected isCurrentPromise(reply: PromiseReply, record: MapRecord): boolean {
    return record.incarnations[reply.rank] === reply.incarnation;
  }

  protected hasEnoughPromises(promised: readonly boolean[]): boolean {
    return promised.every(Boolean);
  }

  #requestPrepare(isIncluded: (rank: number) => boolean): PlannerAction[] {
    const { proposedMap } = this.#state;
    if (proposedMap === null) return [];
    const request = { epoch: this.#lease.getState().epoch, map: proposedMap };
    const ranks = [...this.#state.prepareReplies.keys()].filter(isIncluded);
    return ranks.map((rank) => ({ kind: 'prepare', rank, request }));
  }

  #writeDecision(status: 'committed' | 'abandoned'): PlannerAction[] {
    const { record } = this.#state;
    if (record === null) return [];
    const operation = this.#createOperationId(status, record.map.version);
    return this.#write({ ...record, operation, status });
  }

  #write(record: MapRecord): PlannerAction[] {
    this.#update({ phase: 'writing', write: record });
    return [this.#buildWrite(record)];
  }

  #buildWrite(record: MapRecord): PlannerAction {
    const { revision } = this.#lease.getState();
    return {
      kind: 'write',
      record,
      mapRevision: this.#state.revision,
      plannerRevision: revision,
    };
  }

  /** Continues from a record that is known to be stored. */
  #applyStoredRecord(record: MapRecord, revision: Revision): PlannerAction[] {
    const isOwnWrite = this.#state.write?.operation === record.operation;
    this.#update({ record, revision, write: null, phase: 'idle' });
    const ranks = [...this.#state.prepareReplies.keys()];
    if (record.status !== 'pending') {
      this.#update({ proposedMap: null });
      return ranks.map((rank) => ({ kind: 'tell', rank, record }));
    }
    // Aborts the pending record of another planner, because its promises went to that planner.
    if (!isOwnWrite) return this.#writeDecision('abandoned');
    this.#update({ phase: 'promising' });
    return ranks.map((rank) => ({ kind: 'promise', rank, record }));
  }

  #getActiveVersion(record: MapRecord): number {
    return record.status === 'committed' ? record.map.version : record.previous.version;
  }

  #createOperationId(step: string, version: number): string {
    return `${this.#config.operations}/${this.#lease.getState().epoch}/${step}/${version}`;
  }

  #update(change: Partial<MapSwitchState>): void {
    this.#state = { ...this.#state, ...change };
  }
}
