import {
  Era,
  Ok,
  fail,
  type Clock,
  type CommitResult,
  type Failure,
  type RandomSource,
  type Result,
  type Revision,
  type Store,
  type StorePosition,
  type StoreRecord,
  type StoreTransaction,
  type StoreWatchListener,
} from '@limpetbay/core';
import type { MemoryStoreCounts } from './MemoryStoreCounts.js';
import type { MemoryStoreFaults } from './MemoryStoreFaults.js';

interface Entry {
  value: string;
  revision: Revision;
  lease: string | null;
}

interface Change {
  readonly key: string;
  readonly value: string | null;
  readonly revision: Revision;
}

interface Watch {
  readonly prefix: string;
  readonly listener: StoreWatchListener;
  /** First revision that the listener has not received. */
  nextRevision: number;
  nextProgressMs: number;
}

interface Timer {
  readonly dueMs: number;
  readonly order: number;
  readonly action: () => void;
}

interface Lease {
  readonly era: Era;
  readonly ttlMs: number;
  endMs: number;
}

interface StoreCopy {
  readonly revision: number;
  readonly nextLeaseId: number;
  readonly entries: ReadonlyMap<string, Entry>;
  readonly leases: ReadonlyMap<string, Lease>;
}

type StoreResult<T> = Result<T, Failure>;

const MAX_VALUE_BYTES = 1_048_576;
const PROGRESS_INTERVAL_MS = 1000;
const NO_FAULTS: MemoryStoreFaults = {
  outage: 'none',
  latencyMs: [0, 0],
  timeoutMs: 2000,
  droppedAnswerProbability: 0,
  droppedCallProbability: 0,
  lateEffectProbability: 0,
  maxLateEffectMs: 5000,
};

/**
 * An in-memory key-value store for tests and deterministic benchmarks. It sets no system timers:
 * `tick()` runs the delayed effects and answers, expires leases and reports watch progress, all by
 * the injected clock. Without a latency, a call takes effect and is answered at once.
 */
export class MemoryStore implements Store {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  #entries = new Map<string, Entry>();

  #leases = new Map<string, Lease>();

  readonly #watches = new Set<Watch>();

  readonly #counts = { reads: 0, writes: 0, comparisons: 0, leases: 0, watches: 0 };

  #history: Change[] = [];

  #timers: Timer[] = [];

  #nextTimerOrder = 0;

  #revision = 1;

  #era = 1;

  #compactedRevision = 0;

  #nextLeaseId = 1;

  #faults: MemoryStoreFaults = NO_FAULTS;

  #answersToDrop = 0;

  /** @param random source for faults and latencies */
  constructor(clock: Clock, random: RandomSource) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Sets the given faults and keeps the others. An outage `down` ends all watches. */
  setFaults(faults: Partial<MemoryStoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    if (this.#faults.outage !== 'down') return;
    for (const watch of this.#watches) watch.listener.onEnd('failed');
    this.#watches.clear();
  }

  /** Drops the answers of the next `count` writes, which still take effect. */
  dropAnswers(count: number): void {
    this.#answersToDrop = count;
  }

  /** Drops the history: a new watch from `revision` or an earlier one ends with a gap. */
  dropHistory(revision: Revision = this.#revision as Revision): void {
    this.#compactedRevision = revision;
    this.#history = this.#history.filter((change) => change.revision > revision);
  }

  /** Takes a copy from which the store can be restored. */
  takeCopy(): StoreCopy {
    return {
      revision: this.#revision,
      nextLeaseId: this.#nextLeaseId,
      entries: cloneValues(this.#entries),
      leases: cloneValues(this.#leases),
    };
  }

  /**
   * Restores a copy: what was written since is lost, and its revisions are given out again. Ends all
   * watches. Leases of the copy run for their whole time again, but cannot be renewed.
   */
  restore({ revision, nextLeaseId, entries, leases }: StoreCopy): void {
    this.#era += 1;
    this.#revision = revision;
    this.#nextLeaseId = nextLeaseId;
    this.#entries = cloneValues(entries);
    this.#leases = cloneValues(leases);
    const nowMs = this.#clock.getNow();
    for (const lease of this.#leases.values()) lease.endMs = nowMs + lease.ttlMs;
    this.#history = this.#history.filter((change) => change.revision <= revision);
    this.#compactedRevision = Math.min(this.#compactedRevision, revision);
    const watches = [...this.#watches];
    this.#watches.clear();
    for (const { listener } of watches) listener.onEnd('failed');
  }

  /** Returns the number of calls received so far, by kind. */
  getCounts(): MemoryStoreCounts {
    return { ...this.#counts };
  }

  /** Returns the number of leases that have not expired. */
  countLeases(): number {
    this.#expireLeases();
    return this.#leases.size;
  }

  /** Lists the current records. Not counted as a call, and not subject to faults. */
  listRecords(prefix = ''): StoreRecord[] {
    this.#expireLeases();
    const records: StoreRecord[] = [];
    for (const key of [...this.#entries.keys()].sort()) {
      const record = this.#find(key);
      if (record !== null && key.startsWith(prefix)) records.push(record);
    }
    return records;
  }

  /** Returns the time of the next delayed effect or answer, or null if none is pending. */
  getNextDueMs(): number | null {
    return this.#timers[0]?.dueMs ?? null;
  }

  /** Runs everything that is due now. */
  tick(): void {
    const now = this.#clock.getNow();
    let [timer] = this.#timers;
    while (timer !== undefined && timer.dueMs <= now) {
      this.#timers.shift();
      timer.action();
      [timer] = this.#timers;
    }
    this.#expireLeases();
    this.#publish();
    if (this.#faults.outage !== 'none') return;
    for (const watch of [...this.#watches]) {
      if (watch.nextProgressMs > now) continue;
      watch.nextProgressMs = now + PROGRESS_INTERVAL_MS;
      watch.listener.onProgress(this.#revision as Revision);
    }
  }

  read(key: string): Promise<StoreResult<{ readonly record: StoreRecord | null } & StorePosition>> {
    this.#counts.reads += 1;
    return this.#call(false, () => Ok({ record: this.#find(key), ...this.#getPosition() }));
  }

  readPrefix(
    prefix: string,
  ): Promise<StoreResult<{ readonly records: StoreRecord[] } & StorePosition>> {
    this.#counts.reads += 1;
    return this.#call(false, () =>
      Ok({ records: this.listRecords(prefix), ...this.#getPosition() }),
    );
  }

  commit(transaction: StoreTransaction): Promise<StoreResult<CommitResult>> {
    const isWrite = transaction.writes.length > 0;
    if (isWrite) this.#counts.writes += 1;
    else this.#counts.comparisons += 1;
    return this.#call(isWrite, () => this.#apply(transaction));
  }

  watch(prefix: string, from: StorePosition, listener: StoreWatchListener): () => void {
    this.#counts.watches += 1;
    if (this.#faults.outage === 'down') {
      listener.onEnd('failed');
      return () => {};
    }
    const { revision: fromRevision } = from;
    if (from.era !== this.#getPosition().era) {
      listener.onEnd('restored');
      return () => {};
    }
    if (fromRevision <= this.#compactedRevision || fromRevision > this.#revision + 1) {
      listener.onEnd('gap');
      return () => {};
    }
    const watch: Watch = {
      prefix,
      listener,
      nextRevision: fromRevision,
      nextProgressMs: this.#clock.getNow() + PROGRESS_INTERVAL_MS,
    };
    this.#watches.add(watch);
    this.#publish();
    return () => {
      this.#watches.delete(watch);
    };
  }

  grantLease(ttlMs: number): Promise<StoreResult<{ lease: string; ttlMs: number }>> {
    this.#counts.leases += 1;
    return this.#call(true, () => {
      const { era } = this.#getPosition();
      const lease = `${era}/${this.#nextLeaseId}`;
      const roundedMs = Math.ceil(ttlMs / 1000) * 1000;
      this.#nextLeaseId += 1;
      const endMs = this.#clock.getNow() + roundedMs;
      this.#leases.set(lease, { era, ttlMs: roundedMs, endMs });
      return Ok({ lease, ttlMs: roundedMs });
    });
  }

  renewLease(lease: string): Promise<StoreResult<{ ttlMs: number }>> {
    this.#counts.leases += 1;
    return this.#call(true, () => {
      const entry = this.#findLease(lease);
      if (entry === null) return fail('stale_epoch', `lease ${lease} does not exist`);
      entry.endMs = this.#clock.getNow() + entry.ttlMs;
      return Ok({ ttlMs: entry.ttlMs });
    });
  }

  revokeLease(lease: string): Promise<StoreResult<void>> {
    this.#counts.leases += 1;
    return this.#call(true, () => {
      this.#removeLease(lease);
      return Ok(undefined);
    });
  }

  #call<T>(isWrite: boolean, effect: () => StoreResult<T>): Promise<StoreResult<T>> {
    const faults = this.#faults;
    const run = () => {
      this.#expireLeases();
      return effect();
    };
    if (faults.outage === 'down') {
      return Promise.resolve(fail('store_unavailable', 'the store refused the connection'));
    }
    const timeoutFailure = isWrite
      ? fail('outcome_unknown', 'the store did not answer in time')
      : fail('store_unavailable', 'the store did not answer in time');
    return new Promise((resolve) => {
      if (faults.outage === 'silent') {
        this.#schedule(faults.timeoutMs, () => resolve(timeoutFailure));
        return;
      }
      const [minMs, maxMs] = faults.latencyMs;
      const latencyMs = minMs + (maxMs - minMs) * this.#random.next();
      const draw = this.#random.next();
      const isAnswerDropped = isWrite && this.#answersToDrop > 0;
      if (isAnswerDropped) this.#answersToDrop -= 1;
      const lateEffectStart = faults.droppedAnswerProbability + faults.droppedCallProbability;
      if (isAnswerDropped || (isWrite && draw < faults.droppedAnswerProbability)) {
        this.#schedule(latencyMs / 2, run);
        this.#schedule(latencyMs, () => resolve(timeoutFailure));
      } else if (isWrite && draw < lateEffectStart) {
        this.#schedule(latencyMs, () => resolve(timeoutFailure));
      } else if (isWrite && draw < lateEffectStart + faults.lateEffectProbability) {
        this.#schedule(latencyMs, () => resolve(timeoutFailure));
        this.#schedule(latencyMs + faults.maxLateEffectMs * this.#random.next(), run);
      } else if (latencyMs > faults.timeoutMs) {
        this.#schedule(faults.timeoutMs, () => resolve(timeoutFailure));
        this.#schedule(latencyMs / 2, run);
      } else {
        this.#schedule(latencyMs / 2, () => {
          const answer = run();
          this.#schedule(latencyMs / 2, () => resolve(answer));
        });
      }
    });
  }

  #schedule(delayMs: number, action: () => void): void {
    if (delayMs <= 0) {
      action();
      return;
    }
    const timer = { dueMs: this.#clock.getNow() + delayMs, order: this.#nextTimerOrder, action };
    this.#nextTimerOrder += 1;
    const index = this.#timers.findIndex((other) => other.dueMs > timer.dueMs);
    this.#timers.splice(index < 0 ? this.#timers.length : index, 0, timer);
  }

  /** Finds a lease of the current era; those of a copy live on but cannot be used. */
  #findLease(lease: string): Lease | null {
    const found = this.#leases.get(lease);
    return found === undefined || found.era !== this.#getPosition().era ? null : found;
  }

  #getPosition(): StorePosition {
    return { era: Era.parse(String(this.#era)), revision: this.#revision as Revision };
  }

  #apply({ conditions, writes, era }: StoreTransaction): StoreResult<CommitResult> {
    const position = this.#getPosition();
    if (era !== undefined && era !== position.era) {
      return fail('stale_epoch', `the store was restored since era ${era}`);
    }
    if (new Set(writes.map(({ key }) => key)).size < writes.length) {
      return fail('bad_request', 'a transaction writes a key twice');
    }
    for (const condition of conditions) {
      const entry = this.#entries.get(condition.key);
      if ((entry?.revision ?? 0) === condition.revision) continue;
      const current: StoreRecord[] = [];
      for (const { key } of conditions) {
        const record = this.#find(key);
        if (record !== null) current.push(record);
      }
      return Ok({ committed: false, ...position, current });
    }
    for (const { value, lease } of writes) {
      if (value !== null && Buffer.byteLength(value) > MAX_VALUE_BYTES) {
        return fail('bad_request', 'a value is larger than 1 MiB');
      }
      if (lease !== undefined && this.#findLease(lease) === null) {
        return fail('stale_epoch', `lease ${lease} does not exist`);
      }
    }
    if (writes.length === 0) return Ok({ committed: true, ...position, current: [] });
    this.#revision += 1;
    for (const { key, value, lease } of writes) this.#put(key, value, lease ?? null);
    this.#publish();
    return Ok({ committed: true, ...this.#getPosition(), current: [] });
  }

  #put(key: string, value: string | null, lease: string | null): void {
    const change = { key, value, revision: this.#revision as Revision };
    if (value === null) {
      if (!this.#entries.delete(key)) return;
    } else {
      this.#entries.set(key, { value, revision: change.revision, lease });
    }
    this.#history.push(change);
  }

  /** Sends each watch the changes that it has not received; after an outage `silent` it gets them all. */
  #publish(): void {
    if (this.#faults.outage !== 'none') return;
    for (const watch of [...this.#watches]) {
      if (watch.nextRevision > this.#revision) continue;
      const changes = this.#history.filter((change) => change.revision >= watch.nextRevision);
      watch.nextRevision = this.#revision + 1;
      for (const change of changes) {
        if (change.key.startsWith(watch.prefix)) watch.listener.onChange(change);
      }
    }
  }

  #find(key: string): StoreRecord | null {
    const entry = this.#entries.get(key);
    return entry === undefined ? null : { key, value: entry.value, revision: entry.revision };
  }

  #expireLeases(): void {
    const now = this.#clock.getNow();
    for (const [lease, entry] of this.#leases) if (entry.endMs <= now) this.#removeLease(lease);
  }

  #removeLease(lease: string): void {
    if (!this.#leases.delete(lease)) return;
    this.#revision += 1;
    for (const [key, entry] of [...this.#entries]) {
      if (entry.lease === lease) this.#put(key, null, null);
    }
    this.#publish();
  }
}

function cloneValues<Value extends object>(values: ReadonlyMap<string, Value>): Map<string, Value> {
  const copies = new Map<string, Value>();
  for (const [key, value] of values) copies.set(key, { ...value });
  return copies;
}
