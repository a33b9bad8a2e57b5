import type { Result } from 'ts-results';
import type { Clock } from '../clock/Clock.js';
import type { Failure } from '../errors/Failure.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { CommitResult } from '../store/CommitResult.js';
import type { Store } from '../store/Store.js';
import type { ClaimOptions } from './ClaimOptions.js';
import type { TokenBucket } from '../rate/TokenBucket.js';
import type { QueuedWrite } from './QueuedWrite.js';

type NewWrite = Omit<QueuedWrite, 'uncertain' | 'alone'>;

/**
 * Bounds of the retry delay. The upper one limits how long writes wait after the store recovers.
 */
const RETRY_DELAY_RANGE_MS = [50, 1000] as const;

interface Batch {
  readonly writes: readonly QueuedWrite[];
  readonly sentMs: number;
}

/**
 * Sends queued writes in batches of one transaction each, with one batch in flight. A write whose
 * key is at another revision ends as a conflict, and the other writes of its batch are sent again.
 */
export class BatchWriter {
  readonly #store: Store;

  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #budget: TokenBucket;

  readonly #options: ClaimOptions;

  #queue: QueuedWrite[] = [];

  #batch: Batch | null = null;

  #failures = 0;

  /** When the first of the consecutive failed calls was sent; null while the store answers. */
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

  /** @returns the queued write; its `uncertain` is set once a call with it had no answer */
  add(write: NewWrite): Readonly<QueuedWrite> {
    const queuedWrite = { ...write, uncertain: false, alone: false };
    this.#queue.push(queuedWrite);
    return queuedWrite;
  }

  /**
   * Whether the store has been unavailable for so long that new writes should not wait for it.
   * False while nothing is queued or in flight, because then no call would detect that the store is
   * available again.
   */
  isUnavailable(): boolean {
    return this.#isFailing() && (this.#queue.length > 0 || this.#batch !== null);
  }

  /** Removes a queued write that has surely not taken effect. @returns whether it was removed */
  withdraw(write: Readonly<QueuedWrite>): boolean {
    const index = write.uncertain ? -1 : this.#queue.findIndex((queued) => queued === write);
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
    const writes = this.#takeBatch();
    const batch = { writes, sentMs: now };
    this.#batch = batch;
    const call = this.#store.commit({
      conditions: writes.map(({ key, expected }) => ({ key, revision: expected })),
      writes: writes.map(({ key, value, lease }) =>
        value === null ? { key, value } : { key, value, lease },
      ),
    });
    void call.then((answer) => {
      // A batch that timed out has been queued again, so its late answer is ignored.
      if (this.#batch !== batch) return;
      this.#batch = null;
      this.#handleResult(batch, answer);
      this.tick();
    });
  }

  #takeBatch(): QueuedWrite[] {
    const { maxBatch, batchBytes } = this.#options;
    const batchWrites: QueuedWrite[] = [];
    const keys = new Set<string>();
    let bytes = 0;
    for (const write of this.#queue) {
      // etcd refuses a transaction with two writes of one key.
      if (keys.has(write.key)) break;
      keys.add(write.key);
      bytes += write.key.length * 2 + Buffer.byteLength(write.value ?? '');
      if (batchWrites.length === maxBatch || (batchWrites.length > 0 && bytes > batchBytes)) break;
      if (write.alone && batchWrites.length > 0) break;
      batchWrites.push(write);
      if (write.alone) break;
    }
    this.#queue = this.#queue.slice(batchWrites.length);
    return batchWrites;
  }

  #handleResult(batch: Batch, answer: Result<CommitResult, Failure>): void {
    const { writes } = batch;
    if (answer.err) {
      const { kind } = answer.val;
      if (kind === 'outcome_unknown') this.#requeue(batch, true);
      else if (kind === 'store_unavailable') this.#requeue(batch, false);
      else this.#reject(writes);
      return;
    }
    this.#failures = 0;
    this.#failingSinceMs = null;
    const { committed, revision, current } = answer.val;
    if (committed) {
      for (const write of writes) write.onResult({ type: 'written', revision });
      return;
    }
    const records = new Map(current.map((record) => [record.key, record]));
    const matching: QueuedWrite[] = [];
    const conflicting: QueuedWrite[] = [];
    for (const write of writes) {
      const actual = records.get(write.key)?.revision ?? 0;
      (actual === write.expected ? matching : conflicting).push(write);
    }
    this.#queue = [...matching, ...this.#queue];
    for (const write of conflicting) {
      write.onResult({ type: 'conflict', record: records.get(write.key) ?? null });
    }
  }

  #isFailing(): boolean {
    const sinceMs = this.#failingSinceMs;
    return sinceMs !== null && this.#clock.getNow() - sinceMs >= this.#options.storeWaitMs;
  }

  #requeue({ writes, sentMs }: Batch, uncertain: boolean): void {
    this.#failingSinceMs ??= sentMs;
    const [minMs, maxMs] = RETRY_DELAY_RANGE_MS;
    const maxDelayMs = Math.min(maxMs, minMs * 2 ** this.#failures);
    this.#batch = null;
    this.#failures += 1;
    this.#retryMs = this.#clock.getNow() + maxDelayMs * this.#random.next();
    const kept: QueuedWrite[] = [];
    const unavailable: QueuedWrite[] = [];
    for (const write of writes) {
      if (uncertain) write.uncertain = true;
      const isKept = write.uncertain || write.persistent || !this.#isFailing();
      (isKept ? kept : unavailable).push(write);
    }
    this.#queue = [...kept, ...this.#queue];
    for (const write of unavailable) write.onResult({ type: 'unavailable' });
  }

  #reject(writes: readonly QueuedWrite[]): void {
    if (writes.length === 1) {
      writes[0]?.onResult({ type: 'rejected' });
      return;
    }
    for (const write of writes) write.alone = true;
    this.#queue = [...writes, ...this.#queue];
  }
}
