import type { Result } from 'ts-results';
import type { Clock } from '../clock/Clock.js';
import type { Failure } from '../errors/Failure.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { CommitResult } from '../store/CommitResult.js';
import type { Store } from '../store/Store.js';
import type { ClaimOptions } from './ClaimOptions.js';
import type { TokenBucket } from '../rate/TokenBucket.js';
import type { WriteOrder } from './WriteOrder.js';

type NewOrder = Omit<WriteOrder, 'uncertain' | 'alone'>;

/** Least and most time from a failed call to the next; the most bounds the end of an outage. */
const BACKOFF_MS = [50, 1000] as const;

interface Batch {
  readonly orders: readonly WriteOrder[];
  readonly sentMs: number;
}

/**
 * Writes orders in batches of one transaction each, with one batch in flight. An order whose key is
 * at another revision is settled as a conflict, and the others of its batch are sent again.
 */
export class BatchWriter {
  readonly #store: Store;

  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #budget: TokenBucket;

  readonly #options: ClaimOptions;

  #queue: WriteOrder[] = [];

  #batch: Batch | null = null;

  #failures = 0;

  /** Since when no call was answered; null while the store answers. */
  #failingSinceMs: number | null = null;

  #retryMs = 0;

  constructor(
    store: Store,
    clock: Clock,
    random: RandomSource,
    budget: TokenBucket,
    options: ClaimOptions,
  ) {
    this.#store = store;
    this.#clock = clock;
    this.#random = random;
    this.#budget = budget;
    this.#options = options;
  }

  /** @returns the order, whose `uncertain` tells later whether a call with it had no answer */
  add(order: NewOrder): Readonly<WriteOrder> {
    const added = { ...order, uncertain: false, alone: false };
    this.#queue.push(added);
    return added;
  }

  /**
   * Whether the store has been out for so long that new orders should not wait for it. False while no
   * order is left that would find out that it is back.
   */
  isOut(): boolean {
    return this.#isFailing() && (this.#queue.length > 0 || this.#batch !== null);
  }

  /** Takes back an order that has never been sent. @returns whether it was taken back */
  withdraw(order: Readonly<WriteOrder>): boolean {
    const index = order.uncertain ? -1 : this.#queue.findIndex((queued) => queued === order);
    if (index >= 0) this.#queue.splice(index, 1);
    return index >= 0;
  }

  /** Sends the next batch if none is in flight and the budget allows it. */
  tick(): void {
    const now = this.#clock.getNow();
    if (this.#batch !== null) {
      if (now - this.#batch.sentMs < this.#options.callTimeoutMs) return;
      this.#requeue(this.#batch, true);
    }
    if (this.#queue.length === 0 || now < this.#retryMs) return;
    const isDue = this.#queue.some(({ dueMs }) => dueMs <= now);
    if (!this.#budget.take(isDue ? 0 : 1)) return;
    const orders = this.#pick();
    const batch = { orders, sentMs: now };
    this.#batch = batch;
    const call = this.#store.commit({
      conditions: orders.map(({ key, expected }) => ({ key, revision: expected })),
      writes: orders.map(({ key, value, lease }) =>
        value === null ? { key, value } : { key, value, lease },
      ),
    });
    void call.then((answer) => {
      // A batch that was given up has been queued again; its late answer means nothing.
      if (this.#batch !== batch) return;
      this.#batch = null;
      this.#accept(batch, answer);
      this.tick();
    });
  }

  #pick(): WriteOrder[] {
    const { maxBatch, batchBytes } = this.#options;
    const picked: WriteOrder[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    for (const order of this.#queue) {
      // etcd refuses a transaction with two writes of one key.
      if (keys.has(order.key)) break;
      keys.add(order.key);
      bytes += order.key.length * 2 + Buffer.byteLength(order.value ?? '');
      if (picked.length === maxBatch || (picked.length > 0 && bytes > batchBytes)) break;
      if (order.alone && picked.length > 0) break;
      picked.push(order);
      if (order.alone) break;
    }
    this.#queue = this.#queue.slice(picked.length);
    return picked;
  }

  #accept(batch: Batch, answer: Result<CommitResult, Failure>): void {
    const { orders } = batch;
    if (answer.err) {
      const { kind } = answer.val;
      if (kind === 'outcome_unknown') this.#requeue(batch, true);
      else if (kind === 'store_unavailable') this.#requeue(batch, false);
      else this.#reject(orders);
      return;
    }
    this.#failures = 0;
    this.#failingSinceMs = null;
    const { committed, revision, current } = answer.val;
    if (committed) {
      for (const order of orders) order.settle({ type: 'written', revision });
      return;
    }
    const records = new Map(current.map((record) => [record.key, record]));
    const matching: WriteOrder[] = [];
    const conflicting: WriteOrder[] = [];
    for (const order of orders) {
      const found = records.get(order.key)?.revision ?? 0;
      (found === order.expected ? matching : conflicting).push(order);
    }
    this.#queue = [...matching, ...this.#queue];
    for (const order of conflicting) {
      order.settle({ type: 'conflict', record: records.get(order.key) ?? null });
    }
  }

  #isFailing(): boolean {
    const sinceMs = this.#failingSinceMs;
    return sinceMs !== null && this.#clock.getNow() - sinceMs >= this.#options.storeWaitMs;
  }

  #requeue({ orders, sentMs }: Batch, uncertain: boolean): void {
    this.#failingSinceMs ??= sentMs;
    const [leastMs, mostMs] = BACKOFF_MS;
    const capMs = Math.min(mostMs, leastMs * 2 ** this.#failures);
    this.#batch = null;
    this.#failures += 1;
    this.#retryMs = this.#clock.getNow() + capMs * this.#random.next();
    const kept: WriteOrder[] = [];
    const unavailable: WriteOrder[] = [];
    for (const order of orders) {
      if (uncertain) order.uncertain = true;
      const keeps = order.uncertain || order.persistent || !this.#isFailing();
      (keeps ? kept : unavailable).push(order);
    }
    this.#queue = [...kept, ...this.#queue];
    for (const order of unavailable) order.settle({ type: 'unavailable' });
  }

  #reject(orders: readonly WriteOrder[]): void {
    if (orders.length === 1) {
      orders[0]?.settle({ type: 'rejected' });
      return;
    }
    for (const order of orders) order.alone = true;
    this.#queue = [...orders, ...this.#queue];
  }
}
