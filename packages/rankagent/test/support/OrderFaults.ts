import type { Clock, OrderAnswer, RankOrder, SeededRandom } from '@limpetbay/core';

interface FaultShares {
  /** Fraction of the orders to hold or release a pass that get no answer. */
  readonly unansweredBarriers: number;
  /** Fraction of the time in which a rank answers none of the other orders. */
  readonly silence: number;
  /** Fraction of the unanswered orders that are carried out late instead of at once or never. */
  readonly late: number;
}

/** Time for which a rank goes on to answer orders or not to, milliseconds. */
const SPELL_MS = 800;

/** Time after which a caller gives up an order without an answer, milliseconds. */
const ORDER_TIMEOUT_MS = 60;

/** Bounds of the delay with which an order is carried out late, milliseconds. */
const MIN_LATE_MS = 100;
const MAX_LATE_MS = 5000;

/** Fraction of the unanswered orders that are not late and not carried out at all. */
const DROPPED = 0.5;

/** Leaves some orders to ranks without an answer, and lets ranks carry them out late or never. */
export class OrderFaults {
  readonly #clock: Clock;

  readonly #random: SeededRandom;

  readonly #shares: FaultShares;

  readonly #spells = new Map<number, { readonly endMs: number; readonly isSilent: boolean }>();

  /** Whether orders are disturbed now. */
  isActive = true;

  constructor(clock: Clock, random: SeededRandom, shares: FaultShares) {
    this.#clock = clock;
    this.#random = random;
    this.#shares = shares;
  }

  /** @param carryOut carries out the order at the rank */
  async carryOut(
    rank: number,
    { operation }: RankOrder,
    carryOut: () => OrderAnswer,
  ): Promise<OrderAnswer> {
    const isBarrier = operation === 'hold' || operation === 'go';
    const isUnanswered = isBarrier
      ? this.#random.next() < this.#shares.unansweredBarriers
      : this.#isSilent(rank);
    if (!this.isActive || !isUnanswered) return carryOut();
    if (this.#random.next() < this.#shares.late) {
      const delayMs = MIN_LATE_MS + this.#random.next() * (MAX_LATE_MS - MIN_LATE_MS);
      setTimeout(carryOut, delayMs);
    } else if (this.#random.next() >= DROPPED) carryOut();
    await new Promise((resolve) => {
      setTimeout(resolve, ORDER_TIMEOUT_MS);
    });
    return 'lost';
  }

  #isSilent(rank: number): boolean {
    const nowMs = this.#clock.getNow();
    const current = this.#spells.get(rank);
    if (current !== undefined && nowMs < current.endMs) return current.isSilent;
    const isSilent = this.#random.next() < this.#shares.silence;
    this.#spells.set(rank, { endMs: nowMs + 2 * SPELL_MS * this.#random.next(), isSilent });
    return isSilent;
  }
}
