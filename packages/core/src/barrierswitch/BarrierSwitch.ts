import type { ExpertSets } from './ExpertSets.js';
import type { OrderAnswer } from './OrderAnswer.js';
import type { RankOrder } from './RankOrder.js';
import type { RankStatus } from './RankStatus.js';
import { maxBoundaryLead } from './maxBoundaryLead.js';

/**
 * Phases of a switch; `done` and `failed` are final.
 *
 * - `preparing`: all ranks load the new map.
 * - `holding`: the holder is asked to hold the boundary pass.
 * - `fencing`: before a rollback, a further rank is asked to hold the boundary pass as well.
 * - `arming`: all ranks are armed to switch at the boundary pass.
 * - `releasing`: the holders are asked to release the boundary pass.
 * - `withdrawing`: after a refusal, all ranks are disarmed.
 * - `superseding`: all ranks load the previous map again, so that no late order can arm the new one.
 */
type Phase =
  | 'preparing'
  | 'holding'
  | 'fencing'
  | 'arming'
  | 'releasing'
  | 'withdrawing'
  | 'superseding'
  | 'done'
  | 'failed';

/** A phase, and the ranks that must confirm it before the next step. */
interface Step {
  readonly phase: Phase;
  readonly ranks: readonly number[];
}

interface SwitchOptions {
  readonly epoch: number;
  readonly size: number;
  /**
   * Rank that holds the boundary pass, so that no rank of the group can begin it. It should be at
   * another machine than the planner, because a hold ends only by an order to its rank.
   */
  readonly holder: number;
  /** Rank at the machine of the planner; it is armed last. */
  readonly planner: number;
  /** Rank other than the holder that holds the boundary pass as well before a rollback. */
  readonly fence: number;
  /** First pass that no earlier switch of this formation of the group may have had as its boundary. */
  readonly firstBoundary: number;
  /** The new map and its version. */
  readonly version: number;
  readonly sets: ExpertSets;
  /** The active map, and the version under which it is prepared again if the switch fails. */
  readonly rollbackVersion: number;
  readonly rollbackSets: ExpertSets;
}

/** A pass that a rank holds. */
interface Hold {
  readonly rank: number;
  readonly step: number;
}

/** A switch that another planner, or this process before a restart, left unfinished. */
interface UnfinishedSwitch {
  /** Holds to be released in the end; a late order may hold a pass before the boundary. */
  readonly holds: readonly Hold[];
  readonly boundary: number;
  /** Version with which some ranks may be armed. */
  readonly armedVersion: number;
  /** Rank that does not answer and is known not to be armed, nor ever to be; null if all answer. */
  readonly absent: number | null;
}

interface AddressedOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

/** Passes from the holder's last reported pass to the first boundary; the hold covers any delay. */
const INITIAL_LEAD_PASSES = 1;

/** Added to the lead when the boundary pass had begun before the hold arrived. */
const LEAD_INCREMENT_PASSES = 1;

/**
 * Changes the expert map of a group in two phases, with a barrier at one pass. One rank, the
 * holder, holds the boundary pass, and until it is released no rank can begin that pass. The hold is
 * released only after every rank has confirmed that it is armed, or that it is disarmed and can no
 * longer be armed. Orders may be lost, repeated or delayed.
 *
 * A rollback first holds the boundary pass at a further rank, because another process may release
 * the hold while some ranks are disarmed already: the planner that left the switch, or the agent of
 * the holder, which takes all ranks for armed.
 *
 * A hold and its release are told apart by their pass only, and a release may be carried out late.
 * Therefore no two switches of a formation have the same boundary.
 */
export class BarrierSwitch {
  /** Epoch (formation of the group) in which the switch takes place. */
  readonly epoch: number;

  readonly #options: SwitchOptions;

  /** The current step and those that follow it. */
  #steps: readonly Step[];

  /** The final phase after the last step. */
  #result: 'done' | 'failed' = 'done';

  /** Version with which ranks may be armed; in a recovery that of the unfinished switch. */
  #version: number;

  /** The boundary pass; null until a hold is ordered. */
  #boundary: number | null = null;

  #leadPasses = INITIAL_LEAD_PASSES;

  /** First pass that may be the boundary. */
  #firstBoundary: number;

  /** Ranks that confirmed the current step. */
  #confirmed = new Set<number>();

  /** Ranks with an order that is not answered yet. */
  readonly #unanswered = new Set<number>();

  /** Ranks that began to load the map of the current step. */
  #loading = new Set<number>();

  /** Versions with which ranks were last seen armed: one may be armed late, after others have said so. */
  readonly #armedVersions = new Map<number, number>();

  /** Holds of other processes that are to be released in the end. */
  #foreignHolds: readonly Hold[] = [];

  constructor(options: SwitchOptions) {
    this.epoch = options.epoch;
    this.#options = options;
    this.#version = options.version;
    this.#firstBoundary = options.firstBoundary;
    const { holder, planner } = options;
    this.#steps = [
      { phase: 'preparing', ranks: this.#listRanks() },
      { phase: 'holding', ranks: [holder] },
      { phase: 'arming', ranks: this.#listRanks(planner) },
      { phase: 'arming', ranks: [planner] },
      { phase: 'releasing', ranks: [holder] },
    ];
  }

  /**
   * Creates the switch that rolls back an unfinished one.
   *
   * @param options `fence`: a rank that does not hold the boundary pass yet
   */
  static resume(options: SwitchOptions, unfinished: UnfinishedSwitch): BarrierSwitch {
    const { holds, boundary, armedVersion, absent } = unfinished;
    const recovery = new BarrierSwitch(options);
    recovery.#version = armedVersion;
    recovery.#boundary = boundary;
    recovery.#foreignHolds = holds;
    recovery.#rollBack(
      holds.map(({ rank }) => rank),
      absent,
    );
    return recovery;
  }

  getPhase(): Phase {
    return this.#steps[0]?.phase ?? this.#result;
  }

  getVersion(): number {
    return this.#version;
  }

  /** Returns the boundary pass; null until it is chosen. */
  getBoundary(): number | null {
    return this.#boundary;
  }

  /** Returns the first pass that a later switch of the same formation may have as its boundary. */
  getNextBoundary(): number {
    return this.#boundary === null ? this.#firstBoundary : this.#boundary + 1;
  }

  /** Lists the ranks that have not confirmed the current phase. */
  listUnconfirmed(): number[] {
    const ranks = this.#steps[0]?.ranks ?? [];
    return ranks.filter((rank) => !this.#confirmed.has(rank));
  }

  isFinished(): boolean {
    return this.#steps.length === 0;
  }

  /** Returns whether the holder may hold the boundary pass. */
  isHolding(): boolean {
    return this.#boundary !== null && !this.isFinished();
  }

  /**
   * Rolls back if only the planner's rank is not armed: the process that arms it, which is not the
   * planner's, may be away for long.
   */
  withdraw(): void {
    const [step] = this.#steps;
    const { holder, planner } = this.#options;
    if (step?.phase === 'arming' && step.ranks[0] === planner) this.#rollBack([holder], null);
  }

  /** Aborts the switch if no pass was to be held yet; later phases need the orders that undo them. */
  abort(): void {
    const phase = this.getPhase();
    const isWaiting = phase === 'holding' && this.#boundary === null && this.#unanswered.size === 0;
    if (phase === 'preparing' || isWaiting) this.#fail();
  }

  /** Handles the status of a rank; a new epoch of the group fails the switch. */
  handleStatus(status: RankStatus): void {
    if (this.isFinished()) return;
    const isOver = this.#isReleasedByOther(status) || this.#isOccupied(status);
    if (status.epoch !== this.epoch || isOver || this.#isSuperseded(status)) {
      this.#fail();
      return;
    }
    if (this.#hasPreparedMap(status)) this.#confirm(status.rank);
    const { armed } = status;
    if (armed !== null) this.#armedVersions.set(status.rank, armed.version);
    if (this.getPhase() !== 'arming' || armed === null) return;
    if (armed.version === this.#version && armed.step === this.#boundary) {
      this.#confirm(status.rank);
    }
  }

  /**
   * Lists the orders to send now. The next one to the same rank is listed only after
   * `handleAnswer` was called for this one.
   *
   * @param lastStep last pass that the group is known to have begun
   */
  listOrders(lastStep: number): AddressedOrder[] {
    const orders: AddressedOrder[] = [];
    if (this.getPhase() === 'holding' && !this.#chooseBoundary(lastStep)) return orders;
    for (const rank of this.#steps[0]?.ranks ?? []) {
      if (this.#unanswered.has(rank) || this.#confirmed.has(rank)) continue;
      if (this.#loading.has(rank)) continue;
      this.#unanswered.add(rank);
      orders.push({ rank, order: this.#buildOrder(rank) });
    }
    return orders;
  }

  handleAnswer(rank: number, order: RankOrder, answer: OrderAnswer): void {
    this.#unanswered.delete(rank);
    if (this.isFinished() || answer === 'lost') return;
    const phase = this.getPhase();
    const isApplied = answer === 'done';
    if (order.operation === 'hold' && phase === 'holding') {
      if (isApplied) this.#confirm(rank);
      else {
        this.#firstBoundary = order.step + 1;
        this.#boundary = null;
        this.#leadPasses = Math.min(this.#leadPasses + LEAD_INCREMENT_PASSES, maxBoundaryLead);
      }
    } else if (order.operation === 'hold' && phase === 'fencing') {
      if (isApplied) this.#confirm(rank);
      // The pass has begun, so that there is nothing to undo.
      else this.#fail();
    } else if (order.operation === 'arm' && phase === 'arming') {
      if (isApplied) this.#confirm(rank);
      else this.#rollBack([this.#options.holder], null);
    } else if (order.operation === 'disarm' && phase === 'withdrawing') this.#confirm(rank);
    else if (order.operation === 'go' && phase === 'releasing') this.#confirm(rank);
    else if (order.operation === 'prepare') this.#handlePrepared(rank, order.version, isApplied);
  }

  #handlePrepared(rank: number, version: number, isApplied: boolean): void {
    const { version: newVersion, rollbackVersion } = this.#options;
    const phase = this.getPhase();
    // An order may be answered after another rank has refused it, which began another phase.
    if (phase !== 'preparing' && phase !== 'superseding') return;
    if (version !== (phase === 'preparing' ? newVersion : rollbackVersion)) return;
    if (isApplied) this.#loading.add(rank);
    // No pass is held and no rank armed yet, so there is nothing to roll back.
    else if (phase === 'preparing') this.#fail();
    // A delayed order may have armed the rank again.
    else if (phase === 'superseding') {
      this.#begin([{ phase: 'withdrawing', ranks: this.#steps[0]?.ranks ?? [] }, ...this.#steps]);
    }
  }

  /** Returns whether the boundary pass has begun although this switch has not released it. */
  #isReleasedByOther({ step }: RankStatus): boolean {
    if (this.#boundary === null || step < this.#boundary) return false;
    const phase = this.getPhase();
    return (
      phase === 'arming' ||
      phase === 'fencing' ||
      phase === 'withdrawing' ||
      phase === 'superseding'
    );
  }

  /** Returns whether, before this switch holds a pass, a rank holds one or is armed for another. */
  #isOccupied({ rank, step, held, armed }: RankStatus): boolean {
    const phase = this.getPhase();
    if (phase !== 'preparing' && phase !== 'holding') return false;
    if (armed !== null && armed.step > step) return true;
    if (held === null || held <= step) return false;
    return phase === 'preparing' || rank !== this.#options.holder || held !== this.#boundary;
  }

  /**
   * Returns whether another planner has prepared a newer map while this switch is rolled back. Its
   * ranks refuse the rest of the rollback, and the pass may be held for another switch now.
   */
  #isSuperseded({ prepared }: RankStatus): boolean {
    const phase = this.getPhase();
    const isRollback = phase === 'fencing' || phase === 'withdrawing' || phase === 'superseding';
    return isRollback && (prepared ?? 0) > this.#options.rollbackVersion;
  }

  #hasPreparedMap({ prepared, armed }: RankStatus): boolean {
    const { version, rollbackVersion } = this.#options;
    const phase = this.getPhase();
    if (phase === 'preparing') return prepared === version;
    return phase === 'superseding' && armed === null && prepared === rollbackVersion;
  }

  /** Chooses the boundary pass. @returns false while no pass soon enough is left */
  #chooseBoundary(lastStep: number): boolean {
    if (this.#boundary !== null) return true;
    const boundary = Math.max(lastStep + this.#leadPasses, this.#firstBoundary);
    if (boundary > lastStep + maxBoundaryLead) return false;
    this.#boundary = boundary;
    return true;
  }

  #buildOrder(rank: number): RankOrder {
    const { version, sets, rollbackVersion, rollbackSets } = this.#options;
    switch (this.getPhase()) {
      case 'preparing':
        return { operation: 'prepare', version, sets: cloneSets(sets) };
      case 'holding':
      case 'fencing':
        return { operation: 'hold', step: this.#boundary as number };
      case 'arming':
        return { operation: 'arm', version, step: this.#boundary as number };
      case 'withdrawing':
        return { operation: 'disarm', version: this.#armedVersions.get(rank) ?? this.#version };
      case 'superseding':
        return { operation: 'prepare', version: rollbackVersion, sets: cloneSets(rollbackSets) };
      default:
        return { operation: 'go', step: this.#getHeldStep(rank) };
    }
  }

  #getHeldStep(rank: number): number {
    for (const hold of this.#foreignHolds) if (hold.rank === rank) return hold.step;
    return this.#boundary as number;
  }

  /** Lists the ranks in order. @param excluded rank that is left out; null for none */
  #listRanks(excluded: number | null = null): number[] {
    const ranks: number[] = [];
    for (let rank = 0; rank < this.#options.size; rank += 1) {
      if (rank !== excluded) ranks.push(rank);
    }
    return ranks;
  }

  /**
   * Holds the pass at a further rank, disarms all ranks for good and releases the pass.
   *
   * @param holders ranks with a hold, without the further one
   * @param absent rank that is left out; null for none
   */
  #rollBack(holders: readonly number[], absent: number | null): void {
    const { fence } = this.#options;
    const ranks = this.#listRanks(absent);
    this.#result = 'failed';
    this.#begin([
      { phase: 'fencing', ranks: [fence] },
      { phase: 'withdrawing', ranks },
      { phase: 'superseding', ranks },
      { phase: 'releasing', ranks: [...new Set([...holders, fence])] },
    ]);
  }

  #confirm(rank: number): void {
    const [step, ...rest] = this.#steps;
    if (step === undefined || !step.ranks.includes(rank)) return;
    this.#confirmed.add(rank);
    if (this.#confirmed.size < step.ranks.length) return;
    this.#begin(rest);
    if (this.getPhase() !== 'releasing' || this.#result === 'done') return;
    // The ranks have been told to load the previous map under this version.
    this.#version = this.#options.rollbackVersion;
  }

  #fail(): void {
    this.#result = 'failed';
    this.#begin([]);
  }

  #begin(steps: readonly Step[]): void {
    this.#confirmed = new Set();
    this.#loading = new Set();
    this.#steps = steps.filter(({ ranks }) => ranks.length > 0);
  }
}

function cloneSets(sets: ExpertSets): number[][][] {
  return sets.map((ranks) => ranks.map((experts) => [...experts]));
}
