import type { ExpertSets } from './ExpertSets.js';
import type { OrderAnswer } from './OrderAnswer.js';
import type { RankOrder } from './RankOrder.js';
import type { RankStatus } from './RankStatus.js';

type Phase =
  | 'preparing'
  | 'holding'
  | 'arming'
  | 'releasing'
  | 'withdrawing'
  | 'superseding'
  | 'done'
  | 'failed';

interface SwitchOptions {
  readonly epoch: number;
  readonly size: number;
  /** Rank whose hold keeps the group from beginning the boundary pass. */
  readonly holder: number;
  /** The new map and its version. */
  readonly version: number;
  readonly sets: ExpertSets;
  /** Map in force, and a version under which it is prepared again where the switch fails. */
  readonly undoVersion: number;
  readonly undoSets: ExpertSets;
}

interface AddressedOrder {
  readonly rank: number;
  readonly order: RankOrder;
}

/** Passes between the last one seen and the boundary; the hold covers what the orders need more. */
const FIRST_LEAD = 1;

/** Added to the lead when the boundary had passed before the hold arrived. */
const MORE_LEAD = 1;

/**
 * Changes the map of a group at one pass. While one rank holds the boundary pass, no rank can
 * begin it, so the hold is released only after every rank has confirmed that it is armed, or that
 * it is not and cannot be any more. Orders may be lost, repeated and late.
 */
export class HeldSwitch {
  /** Formation of the group that the switch belongs to. */
  readonly epoch: number;

  readonly #options: SwitchOptions;

  #phase: Phase;

  /** Version that may be armed; differs from the options' in a recovery. */
  #version: number;

  /** The boundary pass; null until it is held. */
  #boundary: number | null = null;

  #lead = FIRST_LEAD;

  /** Ranks that confirmed the orders of this phase, and ranks with an order under way. */
  #confirmed = new Set<number>();

  readonly #underWay = new Set<number>();

  /** Ranks that have begun to load the map that this phase prepares. */
  #loading = new Set<number>();

  constructor(options: SwitchOptions) {
    this.epoch = options.epoch;
    this.#options = options;
    this.#phase = 'preparing';
    this.#version = options.version;
  }

  /**
   * Takes over a switch that another planner left behind.
   *
   * @param boundary pass that `options.holder` holds
   * @param armed version that some ranks may be armed with
   */
  static resume(options: SwitchOptions, boundary: number, armed: number): HeldSwitch {
    const recovery = new HeldSwitch(options);
    recovery.#phase = 'withdrawing';
    recovery.#version = armed;
    recovery.#boundary = boundary;
    return recovery;
  }

  getPhase(): Phase {
    return this.#phase;
  }

  getVersion(): number {
    return this.#version;
  }

  isOver(): boolean {
    return this.#phase === 'done' || this.#phase === 'failed';
  }

  /** Ends a switch that has not held a pass yet. */
  abandon(): void {
    if (this.#phase === 'preparing') this.#enter('failed');
  }

  /** Takes in the status of a rank; a new formation of the group ends the switch. */
  acceptStatus(status: RankStatus): void {
    if (this.isOver()) return;
    if (status.epoch !== this.epoch) {
      this.#enter('failed');
      return;
    }
    if (this.#isPrepared(status)) this.#confirm(status.rank);
    const { armed } = status;
    if (this.#phase !== 'arming' || armed === null) return;
    if (armed.version === this.#version && armed.step === this.#boundary) {
      this.#confirm(status.rank);
    }
  }

  /**
   * Lists the orders that are due. Each must be answered by `acceptAnswer` before the next one to
   * the same rank is listed.
   *
   * @param holderStep last pass that the holder began
   */
  listOrders(holderStep: number): AddressedOrder[] {
    const orders: AddressedOrder[] = [];
    for (let rank = 0; rank < this.#options.size; rank += 1) {
      if (this.#underWay.has(rank) || this.#confirmed.has(rank)) continue;
      if (this.#loading.has(rank)) continue;
      const order = this.#buildOrder(rank, holderStep);
      if (order === null) continue;
      this.#underWay.add(rank);
      orders.push({ rank, order });
    }
    return orders;
  }

  acceptAnswer(rank: number, order: RankOrder, answer: OrderAnswer): void {
    this.#underWay.delete(rank);
    if (this.isOver() || answer === 'lost') return;
    const isDone = answer === 'done';
    if (order.operation === 'hold' && this.#phase === 'holding') {
      if (isDone) this.#enter('arming');
      else {
        this.#boundary = null;
        this.#lead += MORE_LEAD;
      }
    } else if (order.operation === 'arm' && this.#phase === 'arming') {
      if (isDone) this.#confirm(rank);
      else this.#enter('withdrawing');
    } else if (order.operation === 'disarm' && this.#phase === 'withdrawing') this.#confirm(rank);
    else if (order.operation === 'go' && this.#phase === 'releasing') {
      this.#enter(this.#version === this.#options.version ? 'done' : 'failed');
    } else if (order.operation === 'prepare') this.#acceptPrepare(rank, order.version, isDone);
  }

  #acceptPrepare(rank: number, version: number, isDone: boolean): void {
    const { version: newVersion, undoVersion } = this.#options;
    const expected = this.#phase === 'preparing' ? newVersion : undoVersion;
    if (version !== expected) return;
    if (isDone) this.#loading.add(rank);
    // Nothing is held before the first hold, so a refusal there needs no undoing.
    else if (this.#phase === 'preparing') this.#enter('failed');
    // A late order may have armed the rank again.
    else if (this.#phase === 'superseding') this.#enter('withdrawing');
  }

  #isPrepared({ prepared, armed }: RankStatus): boolean {
    const { version, undoVersion } = this.#options;
    if (this.#phase === 'preparing') return prepared === version;
    // A map of another planner replaces the withdrawn one just as well.
    return this.#phase === 'superseding' && armed === null && (prepared ?? 0) >= undoVersion;
  }

  #buildOrder(rank: number, holderStep: number): RankOrder | null {
    const { version, sets, undoVersion, undoSets, holder } = this.#options;
    switch (this.#phase) {
      case 'preparing':
        return { operation: 'prepare', version, sets: convertSets(sets) };
      case 'holding':
        if (rank !== holder) return null;
        this.#boundary ??= holderStep + this.#lead;
        return { operation: 'hold', step: this.#boundary };
      case 'arming':
        return { operation: 'arm', version, step: this.#boundary as number };
      case 'withdrawing':
        return { operation: 'disarm', version: this.#version };
      case 'superseding':
        return { operation: 'prepare', version: undoVersion, sets: convertSets(undoSets) };
      case 'releasing':
        return rank === holder ? { operation: 'go', step: this.#boundary as number } : null;
      default:
        return null;
    }
  }

  #confirm(rank: number): void {
    this.#confirmed.add(rank);
    if (this.#confirmed.size < this.#options.size) return;
    if (this.#phase === 'preparing') this.#enter('holding');
    else if (this.#phase === 'arming') this.#enter('releasing');
    else if (this.#phase === 'withdrawing') this.#enter('superseding');
    else if (this.#phase === 'superseding') {
      // Marks the release as one that ends a failed switch.
      this.#version = this.#options.undoVersion;
      this.#enter('releasing');
    }
  }

  #enter(phase: Phase): void {
    this.#phase = phase;
    this.#confirmed = new Set();
    this.#loading = new Set();
  }
}

function convertSets(sets: ExpertSets): number[][][] {
  return sets.map((ranks) => ranks.map((experts) => [...experts]));
}
