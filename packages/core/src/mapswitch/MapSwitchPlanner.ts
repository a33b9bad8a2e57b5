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
  /** Steps between the last granted step and the boundary; time for intent and decision. */
  readonly leadSteps: number;
  /** Prefix of operation ids, unique for each process start. */
  readonly operations: string;
}

/**
 * The planner side of a map switch. Each method takes in an event and returns what to do next;
 * nothing is returned once the lease is not held.
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
      lastVersion: 0,
      proposal: null,
      replies: Array.from({ length: config.ranks }, () => null),
      promised: Array.from({ length: config.ranks }, () => false),
      write: null,
    };
  }

  getState(): MapSwitchState {
    return this.#state;
  }

  /** Starts a switch to a new map. Nothing happens while another one is under way. */
  begin(layers: ExpertMap['layers']): PlannerAction[] {
    const { record, phase } = this.#state;
    if (!this.isAllowed() || phase !== 'idle' || record === null) return [];
    const version = Math.max(record.map.version, this.#state.lastVersion) + 1;
    const proposal = { version, layers };
    this.#update({
      phase: 'preparing',
      lastVersion: version,
      proposal,
      replies: this.#state.replies.map(() => null),
      promised: this.#state.promised.map(() => false),
    });
    return this.#askPrepare(() => true);
  }

  /** Takes in a rank's answer to a request to prepare. */
  acceptPrepared(reply: PrepareReply): PlannerAction[] {
    const { phase, proposal, record } = this.#state;
    if (!this.isAllowed() || phase !== 'preparing' || record === null) return [];
    if (proposal === null || reply.version !== proposal.version) return [];
    if (reply.refusal !== null || !reply.isLoaded || reply.inForce !== this.#getInForce(record)) {
      return [];
    }
    const replies = [...this.#state.replies];
    replies[reply.rank] = reply;
    this.#update({ replies });
    const ready = replies.filter((item) => item !== null);
    if (ready.length < replies.length) return [];
    const granted = Math.max(...ready.map((item) => item.grantedUntil));
    return this.#write({
      epoch: this.#lease.getState().epoch,
      operation: this.#createOperation('intent', proposal.version),
      status: 'pending',
      boundary: granted + 1 + this.#config.leadSteps,
      incarnations: ready.map((item): Incarnation => item.incarnation),
      map: proposal,
      previous: record.status === 'committed' ? record.map : record.previous,
    });
  }

  /** Takes in a rank's answer to the pending record. */
  acceptPromise(reply: PromiseReply): PlannerAction[] {
    const { phase, record } = this.#state;
    if (!this.isAllowed() || phase !== 'promising' || record === null) return [];
    if (reply.version !== record.map.version) return [];
    if (reply.refusal !== null) return this.#decide('abandoned');
    if (!this.isCounted(reply, record)) return [];
    const promised = [...this.#state.promised];
    promised[reply.rank] = true;
    this.#update({ promised });
    return this.hasEnoughPromises(promised) ? this.#decide('committed') : [];
  }

  /**
   * Takes in the outcome of a write.
   *
   * @param outcome the revision of the write, `conflict` if a condition failed, or `unknown`
   */
  acceptWrite(operation: string, outcome: Revision | 'conflict' | 'unknown'): PlannerAction[] {
    const { phase, write } = this.#state;
    if (!this.isAllowed() || phase !== 'writing' || write?.operation !== operation) return [];
    if (outcome === 'conflict' || outcome === 'unknown') return [{ kind: 'read' }];
    return this.#settle(write, outcome);
  }

  /** Takes in the map record as the store holds it; settles a write whose answer was lost. */
  acceptRecord(record: MapRecord, revision: Revision): PlannerAction[] {
    const { phase, write } = this.#state;
    if (!this.isAllowed() || revision < this.#state.revision) return [];
    if (phase === 'writing' && write !== null) {
      if (record.operation === write.operation) return this.#settle(write, revision);
      // Not written so far. The same write is sent again: whichever copy arrives first wins.
      if (revision === this.#state.revision) return [this.#buildWrite(write)];
    } else if (phase !== 'unread') {
      return [];
    }
    return this.#settle(record, revision);
  }

  /** Goes on after a wait that was too long: asks again, or ends the switch. */
  handleTimeout(): PlannerAction[] {
    if (!this.isAllowed()) return [];
    switch (this.#state.phase) {
      case 'unread':
      case 'writing':
        return [{ kind: 'read' }];
      case 'promising':
        return this.#decide('abandoned');
      default:
        return [];
    }
  }

  /** Asks again the ranks that have not confirmed their weights; loading takes many seconds. */
  askAgain(): PlannerAction[] {
    if (!this.isAllowed() || this.#state.phase !== 'preparing') return [];
    return this.#askPrepare((rank) => this.#state.replies[rank] === null);
  }

  /** Gives up a switch that is not written yet. */
  cancel(): void {
    if (this.#state.phase === 'preparing') this.#update({ phase: 'idle', proposal: null });
  }

  /** Whether the planner may act; asked before each action. */
  protected isAllowed(): boolean {
    return this.#lease.isHeld();
  }

  /** Whether a promise counts: only that of the incarnation that the record names. */
  protected isCounted(reply: PromiseReply, record: MapRecord): boolean {
    return record.incarnations[reply.rank] === reply.incarnation;
  }

  protected hasEnoughPromises(promised: readonly boolean[]): boolean {
    return promised.every(Boolean);
  }

  #askPrepare(isAsked: (rank: number) => boolean): PlannerAction[] {
    const { proposal } = this.#state;
    if (proposal === null) return [];
    const request = { epoch: this.#lease.getState().epoch, map: proposal };
    const ranks = [...this.#state.replies.keys()].filter(isAsked);
    return ranks.map((rank) => ({ kind: 'prepare', rank, request }));
  }

  #decide(status: 'committed' | 'abandoned'): PlannerAction[] {
    const { record } = this.#state;
    if (record === null) return [];
    const operation = this.#createOperation(status, record.map.version);
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

  /** Goes on from a record that the store surely holds. */
  #settle(record: MapRecord, revision: Revision): PlannerAction[] {
    const isOwn = this.#state.write?.operation === record.operation;
    this.#update({ record, revision, write: null, phase: 'idle' });
    const ranks = [...this.#state.replies.keys()];
    if (record.status !== 'pending') {
      this.#update({ proposal: null });
      return ranks.map((rank) => ({ kind: 'tell', rank, record }));
    }
    // A pending record of another planner is abandoned: its promises went to that planner.
    if (!isOwn) return this.#decide('abandoned');
    this.#update({ phase: 'promising' });
    return ranks.map((rank) => ({ kind: 'promise', rank, record }));
  }

  #getInForce(record: MapRecord): number {
    return record.status === 'committed' ? record.map.version : record.previous.version;
  }

  #createOperation(step: string, version: number): string {
    return `${this.#config.operations}/${this.#lease.getState().epoch}/${step}/${version}`;
  }

  #update(change: Partial<MapSwitchState>): void {
    this.#state = { ...this.#state, ...change };
  }
}
