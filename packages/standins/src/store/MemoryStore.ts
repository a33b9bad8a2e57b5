import {
  Ok,
  fail,
  type Clock,
  type CommitResult,
  type Failure,
  type RandomSource,
  type Result,
  type Revision,
  type Store,
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
  /** First revision that the listener has not seen. */
  nextRevision: number;
  nextProgressMs: number;
}

interface Timer {
  readonly dueMs: number;
  readonly order: number;
  readonly action: () => void;
}

type Answer<T> = Result<T, Failure>;

const VALUE_BYTES = 1_048_576;
const PROGRESS_MS = 1000;
const NO_FAULTS: MemoryStoreFaults = {
  outage: 'none',
  latencyMs: [0, 0],
  timeoutMs: 2000,
  lostAnswers: 0,
  lostCalls: 0,
  lateEffects: 0,
  latenessMs: 5000,
};

/**
 * A key-value service in memory for tests and deterministic benches. Time comes from the clock
 * alone: delayed effects and answers, lease ends and watch progress happen in `tick()`. Without a
 * latency a call takes effect and is answered at once.
 */
export class MemoryStore implements Store {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #entries = new Map<string, Entry>();

  readonly #leases = new Map<string, { ttlMs: number; endMs: number }>();

  readonly #watches = new Set<Watch>();

  readonly #counts = { reads: 0, writes: 0, comparisons: 0, leases: 0, watches: 0 };

  #log: Change[] = [];

  #timers: Timer[] = [];

  #order = 0;

  #revision = 1;

  #compacted = 0;

  #nextLease = 1;

  #faults: MemoryStoreFaults = NO_FAULTS;

  #loseNext = 0;

  /** @param random decides faults and latencies */
  constructor(clock: Clock, random: RandomSource) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Changes the faults that are given; the others stay as they are. */
  setFaults(faults: Partial<MemoryStoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
    if (this.#faults.outage !== 'down') return;
    for (const watch of this.#watches) watch.listener.onEnd('failed');
    this.#watches.clear();
  }

  /** The next `count` writes take effect, but their answers are lost. */
  dropAnswers(count: number): void {
    this.#loseNext = count;
  }

  /** Forgets the history: watches from `revision` or before end with a gap. */
  clearHistory(revision: Revision = this.#revision as Revision): void {
    this.#compacted = revision;
    this.#log = this.#log.filter((change) => change.revision > revision);
  }

  /** Returns the calls received so far. */
  getCounts(): MemoryStoreCounts {
    return { ...this.#counts };
  }

  /** Returns the live leases. */
  getLeaseCount(): number {
    this.#expireLeases();
    return this.#leases.size;
  }

  /** Lists the records as they are now; not a call of the service. */
  listRecords(prefix = ''): StoreRecord[] {
    this.#expireLeases();
    const records: StoreRecord[] = [];
    for (const key of [...this.#entries.keys()].sort()) {
      const record = this.#find(key);
      if (record !== null && key.startsWith(prefix)) records.push(record);
    }
    return records;
  }

  /** Returns the time of the next delayed effect or answer, or null. */
  getNextDueMs(): number | null {
    return this.#timers[0]?.dueMs ?? null;
  }

  /** Does all that is due by now. */
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
      watch.nextProgressMs = now + PROGRESS_MS;
      watch.listener.onProgress(this.#revision as Revision);
    }
  }

  read(key: string): Promise<Answer<{ record: StoreRecord | null; revision: Revision }>> {
    this.#counts.reads += 1;
    return this.#call(false, () =>
      Ok({ record: this.#find(key), revision: this.#revision as Revision }),
    );
  }

  readPrefix(prefix: string): Promise<Answer<{ records: StoreRecord[]; revision: Revision }>> {
    this.#counts.reads += 1;
    return this.#call(false, () =>
      Ok({ records: this.listRecords(prefix), revision: this.#revision as Revision }),
    );
  }

  commit(transaction: StoreTransaction): Promise<Answer<CommitResult>> {
    const writes = transaction.writes.length > 0;
    if (writes) this.#counts.writes += 1;
    else this.#counts.comparisons += 1;
    return this.#call(writes, () => this.#apply(transaction));
  }

  watch(prefix: string, fromRevision: Revision, listener: StoreWatchListener): () => void {
    this.#counts.watches += 1;
    if (this.#faults.outage === 'down') {
      listener.onEnd('failed');
      return () => {};
    }
    if (fromRevision <= this.#compacted) {
      listener.onEnd('gap');
      return () => {};
    }
    const watch: Watch = {
      prefix,
      listener,
      nextRevision: fromRevision,
      nextProgressMs: this.#clock.getNow() + PROGRESS_MS,
    };
    this.#watches.add(watch);
    this.#publish();
    return () => {
      this.#watches.delete(watch);
    };
  }

  grantLease(ttlMs: number): Promise<Answer<{ lease: string; ttlMs: number }>> {
    this.#counts.leases += 1;
    return this.#call(true, () => {
      const lease = String(this.#nextLease);
      const roundedMs = Math.ceil(ttlMs / 1000) * 1000;
      this.#nextLease += 1;
      this.#leases.set(lease, { ttlMs: roundedMs, endMs: this.#clock.getNow() + roundedMs });
      return Ok({ lease, ttlMs: roundedMs });
    });
  }

  renewLease(lease: string): Promise<Answer<{ ttlMs: number }>> {
    this.#counts.leases += 1;
    return this.#call(true, () => {
      const held = this.#leases.get(lease);
      if (held === undefined) return fail('stale_epoch', `lease ${lease} does not exist`);
      held.endMs = this.#clock.getNow() + held.ttlMs;
      return Ok({ ttlMs: held.ttlMs });
    });
  }

  revokeLease(lease: string): Promise<Answer<void>> {
    this.#counts.leases += 1;
    return this.#call(true, () => {
      this.#endLease(lease);
      return Ok(undefined);
    });
  }

  #call<T>(isWrite: boolean, effect: () => Answer<T>): Promise<Answer<T>> {
    const faults = this.#faults;
    const run = () => {
      this.#expireLeases();
      return effect();
    };
    if (faults.outage === 'down') {
      return Promise.resolve(fail('store_unavailable', 'the store refused the connection'));
    }
    const lost = isWrite
      ? fail('outcome_unknown', 'the answer of the store did not arrive')
      : fail('store_unavailable', 'the answer of the store did not arrive');
    return new Promise((resolve) => {
      if (faults.outage === 'silent') {
        this.#schedule(faults.timeoutMs, () => resolve(lost));
        return;
      }
      const [least, most] = faults.latencyMs;
      const latencyMs = least + (most - least) * this.#random.next();
      const draw = this.#random.next();
      const loseAnswer = isWrite && this.#loseNext > 0;
      if (loseAnswer) this.#loseNext -= 1;
      const beforeLate = faults.lostAnswers + faults.lostCalls;
      if (loseAnswer || (isWrite && draw < faults.lostAnswers)) {
        this.#schedule(latencyMs / 2, run);
        this.#schedule(latencyMs, () => resolve(lost));
      } else if (isWrite && draw < beforeLate) {
        this.#schedule(latencyMs, () => resolve(lost));
      } else if (isWrite && draw < beforeLate + faults.lateEffects) {
        this.#schedule(latencyMs, () => resolve(lost));
        this.#schedule(latencyMs + faults.latenessMs * this.#random.next(), run);
      } else if (latencyMs > faults.timeoutMs) {
        this.#schedule(faults.timeoutMs, () => resolve(lost));
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
    const timer = { dueMs: this.#clock.getNow() + delayMs, order: this.#order, action };
    this.#order += 1;
    const index = this.#timers.findIndex((other) => other.dueMs > timer.dueMs);
    this.#timers.splice(index < 0 ? this.#timers.length : index, 0, timer);
  }

  #apply({ conditions, writes }: StoreTransaction): Answer<CommitResult> {
    const revision = this.#revision as Revision;
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
      return Ok({ committed: false, revision, current });
    }
    for (const { value, lease } of writes) {
      if (value !== null && Buffer.byteLength(value) > VALUE_BYTES) {
        return fail('bad_request', 'a value is larger than 1 MB');
      }
      if (lease !== undefined && !this.#leases.has(lease)) {
        return fail('stale_epoch', `lease ${lease} does not exist`);
      }
    }
    if (writes.length === 0) return Ok({ committed: true, revision, current: [] });
    this.#revision += 1;
    for (const { key, value, lease } of writes) this.#put(key, value, lease ?? null);
    this.#publish();
    return Ok({ committed: true, revision: this.#revision as Revision, current: [] });
  }

  #put(key: string, value: string | null, lease: string | null): void {
    const change = { key, value, revision: this.#revision as Revision };
    if (value === null) {
      if (!this.#entries.delete(key)) return;
    } else {
      this.#entries.set(key, { value, revision: change.revision, lease });
    }
    this.#log.push(change);
  }

  /** Hands watches the changes that they have not seen; a silent outage only delays them. */
  #publish(): void {
    if (this.#faults.outage !== 'none') return;
    for (const watch of [...this.#watches]) {
      if (watch.nextRevision > this.#revision) continue;
      const changes = this.#log.filter((change) => change.revision >= watch.nextRevision);
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
    for (const [lease, held] of this.#leases) if (held.endMs <= now) this.#endLease(lease);
  }

  #endLease(lease: string): void {
    if (!this.#leases.delete(lease)) return;
    this.#revision += 1;
    for (const [key, entry] of [...this.#entries]) {
      if (entry.lease === lease) this.#put(key, null, null);
    }
    this.#publish();
  }
}
