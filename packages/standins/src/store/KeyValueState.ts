import type { Clock } from '@limpetbay/core';
import type { EtcdApi } from '@limpetbay/platform';

type EtcdEvent = EtcdApi['Event'];

interface Entry {
  readonly value: Buffer;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
  readonly lease: string;
}

interface Lease {
  readonly ttlMs: number;
  expiresAtMs: number;
}

/** What a store that is restored from a backup has. */
interface KeyValueCopy {
  readonly revision: number;
  readonly entries: ReadonlyMap<string, Entry>;
}

const FIRST_LEASE_ID = 7_587_000_000;

/** Decodes a key as `latin1`, so that JavaScript's string order equals the byte order of etcd. */
function decodeKey(key: Buffer): string {
  return key.toString('latin1');
}

/** Follows the etcd API: an empty `range_end` means one key, a zero byte means no upper bound. */
function isInRange(key: string, from: string, end: string): boolean {
  if (end === '') return key === from;
  return key >= from && (end === '\0' || key < end);
}

/** The in-memory keys, revisions, history and leases of `StoreServer`. */
export class KeyValueState {
  readonly #clock: Clock;

  readonly #entries = new Map<string, Entry>();

  readonly #leases = new Map<string, Lease>();

  readonly #history: { readonly revision: number; readonly events: readonly EtcdEvent[] }[] = [];

  readonly #onEvents: (events: readonly EtcdEvent[]) => void;

  #clusterId = 1;

  #revision = 1;

  #compactedRevision = 0;

  #nextLeaseId = FIRST_LEASE_ID;

  /** @param onEvents called once for each new revision, with all its events */
  constructor(clock: Clock, onEvents: (events: readonly EtcdEvent[]) => void) {
    this.#clock = clock;
    this.#onEvents = onEvents;
  }

  /** Sets the id of the cluster, which changes when it is restored from a backup. */
  setClusterId(clusterId: number): void {
    this.#clusterId = clusterId;
  }

  /** Takes a copy from which the store can be restored. */
  takeCopy(): KeyValueCopy {
    return { revision: this.#revision, entries: new Map(this.#entries) };
  }

  /** Restores a copy, as a cluster with another id; history and leases are lost. */
  restore({ revision, entries }: KeyValueCopy): void {
    this.#clusterId += 1;
    this.#revision = revision;
    this.#compactedRevision = 0;
    this.#history.length = 0;
    this.#leases.clear();
    this.#entries.clear();
    for (const [key, entry] of entries) this.#entries.set(key, entry);
  }

  getRevision(): number {
    return this.#revision;
  }

  /** Returns the revision up to which (inclusive) the history was dropped; 0 if none was. */
  getCompactedRevision(): number {
    return this.#compactedRevision;
  }

  /** Drops the history up to and including `revision`. */
  dropHistory(revision: number): void {
    this.#compactedRevision = Math.max(this.#compactedRevision, Math.min(revision, this.#revision));
    while (this.#history[0] !== undefined && this.#history[0].revision <= this.#compactedRevision) {
      this.#history.shift();
    }
  }

  /** Returns the header of an answer. */
  getHeader(): EtcdApi['RangeResponse']['header'] {
    return { cluster_id: String(this.#clusterId), revision: String(this.#revision) };
  }

  readRange(request: EtcdApi['RangeRequest']): EtcdApi['RangeResponse'] {
    const from = decodeKey(request.key);
    const end = decodeKey(request.range_end ?? Buffer.alloc(0));
    const keys = [...this.#entries.keys()].filter((key) => isInRange(key, from, end)).sort();
    return {
      header: this.getHeader(),
      kvs: keys.map((key) => this.#buildKeyValue(key, this.#entries.get(key) as Entry)),
    };
  }

  /** @returns the response, or null if a write names a lease that does not exist */
  applyTransaction(request: EtcdApi['TxnRequest']): EtcdApi['TxnResponse'] | null {
    const succeeded = request.compare.every((compare) => this.#evaluateComparison(compare));
    const operations = succeeded ? request.success : request.failure;
    for (const { request_put: put } of operations) {
      if (put && !this.#hasLease(put.lease)) return null;
    }
    const revision = this.#revision + 1;
    const events: EtcdEvent[] = [];
    const responses: EtcdApi['TxnResponse']['responses'][number][] = [];
    for (const operation of operations) {
      if (operation.request_put) events.push(this.#put(operation.request_put, revision));
      if (operation.request_delete_range) {
        events.push(...this.#deleteRange(operation.request_delete_range, revision));
      }
      const range = operation.request_range;
      responses.push(range ? { response_range: this.readRange(range) } : {});
    }
    this.#publish(revision, events);
    return { header: this.getHeader(), succeeded, responses };
  }

  /** Lists the retained events of a key range since `fromRevision`, grouped by revision. */
  listEvents(key: Buffer, rangeEnd: Buffer, fromRevision: number): EtcdEvent[][] {
    const groups: EtcdEvent[][] = [];
    for (const { revision, events } of this.#history) {
      if (revision < fromRevision) continue;
      const matching = KeyValueState.matchEvents(events, key, rangeEnd);
      if (matching.length > 0) groups.push(matching);
    }
    return groups;
  }

  /** Returns the events whose key is in the range. */
  static matchEvents(events: readonly EtcdEvent[], key: Buffer, rangeEnd: Buffer): EtcdEvent[] {
    const from = decodeKey(key);
    const end = decodeKey(rangeEnd);
    return events.filter((event) => isInRange(decodeKey(event.kv.key), from, end));
  }

  /**
   * @param ttlSeconds whole seconds
   * @param id requested lease id; empty or `0` for a generated one
   * @returns the lease id
   */
  grantLease(ttlSeconds: number, id: string): string {
    const lease = id === '' || id === '0' ? String(this.#nextLeaseId) : id;
    this.#nextLeaseId += 1;
    const ttlMs = ttlSeconds * 1000;
    this.#leases.set(lease, { ttlMs, expiresAtMs: this.#clock.getNow() + ttlMs });
    return lease;
  }

  /** @returns the new time to live in whole seconds; 0 if the lease does not exist */
  renewLease(id: string): number {
    const lease = this.#leases.get(id);
    if (lease === undefined) return 0;
    lease.expiresAtMs = this.#clock.getNow() + lease.ttlMs;
    return lease.ttlMs / 1000;
  }

  /** Ends a lease and deletes its keys. @returns whether it existed */
  revokeLease(id: string): boolean {
    if (!this.#leases.delete(id)) return false;
    const revision = this.#revision + 1;
    const events: EtcdEvent[] = [];
    for (const [key, entry] of [...this.#entries]) {
      if (entry.lease === id) events.push(this.#delete(key, revision));
    }
    this.#publish(revision, events);
    return true;
  }

  /** Revokes the leases whose time to live has passed. */
  expireLeases(): void {
    const now = this.#clock.getNow();
    for (const [id, lease] of [...this.#leases]) {
      if (lease.expiresAtMs <= now) this.revokeLease(id);
    }
  }

  #hasLease(id: string | undefined): boolean {
    return id === undefined || id === '' || id === '0' || this.#leases.has(id);
  }

  #evaluateComparison(compare: EtcdApi['Compare']): boolean {
    const entry = this.#entries.get(decodeKey(compare.key));
    let order: number;
    if (compare.target === 'VALUE') {
      if (entry === undefined) return false;
      order = Buffer.compare(entry.value, compare.value ?? Buffer.alloc(0));
    } else if (compare.target === 'VERSION') {
      order = (entry?.version ?? 0) - Number(compare.version ?? 0);
    } else if (compare.target === 'CREATE') {
      order = (entry?.createRevision ?? 0) - Number(compare.create_revision ?? 0);
    } else if (compare.target === 'LEASE') {
      order = Number(entry?.lease ?? 0) - Number(compare.lease ?? 0);
    } else {
      order = (entry?.modRevision ?? 0) - Number(compare.mod_revision ?? 0);
    }
    if (compare.result === 'EQUAL') return order === 0;
    if (compare.result === 'NOT_EQUAL') return order !== 0;
    return compare.result === 'GREATER' ? order > 0 : order < 0;
  }

  #put(request: EtcdApi['PutRequest'], revision: number): EtcdEvent {
    const key = decodeKey(request.key);
    const previous = this.#entries.get(key);
    const entry: Entry = {
      value: request.value,
      createRevision: previous?.createRevision ?? revision,
      modRevision: revision,
      version: (previous?.version ?? 0) + 1,
      lease: request.lease ?? '0',
    };
    this.#entries.set(key, entry);
    return { type: 'PUT', kv: this.#buildKeyValue(key, entry) };
  }

  #deleteRange(request: EtcdApi['DeleteRangeRequest'], revision: number): EtcdEvent[] {
    const { kvs } = this.readRange(request);
    return kvs.map((kv) => this.#delete(decodeKey(kv.key), revision));
  }

  #delete(key: string, revision: number): EtcdEvent {
    this.#entries.delete(key);
    const entry: Entry = {
      value: Buffer.alloc(0),
      createRevision: 0,
      modRevision: revision,
      version: 0,
      lease: '0',
    };
    return { type: 'DELETE', kv: this.#buildKeyValue(key, entry) };
  }

  #publish(revision: number, events: readonly EtcdEvent[]): void {
    if (events.length === 0) return;
    this.#revision = revision;
    this.#history.push({ revision, events });
    this.#onEvents(events);
  }

  #buildKeyValue(key: string, entry: Entry): EtcdApi['KeyValue'] {
    return {
      key: Buffer.from(key, 'latin1'),
      value: entry.value,
      create_revision: String(entry.createRevision),
      mod_revision: String(entry.modRevision),
      version: String(entry.version),
      lease: entry.lease,
    };
  }
}
