import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  Backoff,
  ConfigNode,
  DocumentTable,
  InstanceRecord,
  ManualClock,
  Membership,
  Ok,
  Revision,
  SeededRandom,
  ServiceDocument,
  StoreSource,
  VersionedDocument,
  chooseRelays,
  encodeStoredDocument,
  fail,
  getServiceKey,
  type ConfigPorts,
  type RelayEvent,
  type StoreRecord,
  type StoreWatchListener,
} from '@limpetbay/core';

const SEED = 4711;

function createDocument(name: string): ServiceDocument {
  return ServiceDocument.parse({
    service: { name, kind: 'plain' },
    zones: { in: ['a'] },
    targets: { include: ['*'] },
    ramp: {},
    limits: {},
    keys: {},
  });
}

function createVersion(name: string, revision: number, isDeleted = false): VersionedDocument {
  const document = isDeleted ? null : createDocument(name);
  return VersionedDocument.parse({ name, revision, operationId: `o${revision}`, document });
}

function createStored(name: string, revision: number): StoreRecord {
  const value = encodeStoredDocument(createDocument(name), `o${revision}`);
  return { key: getServiceKey(name), value, revision: Revision.parse(revision) };
}

function createInstance(id: string, zone: string): InstanceRecord {
  return InstanceRecord.parse({ id, role: 'entry', zone, address: `${id}:1`, state: 'live' });
}

type LinkListener = Parameters<ConfigPorts['followPeer']>[3];

/** One node whose surroundings the test plays. */
class Bed {
  readonly clock = new ManualClock(1000);

  readonly links = new Map<string, LinkListener>();

  readonly opened: string[] = [];

  reads = 0;

  isStoreDown = false;

  watch: { from: number; listener: StoreWatchListener } | null = null;

  stored: StoreRecord[] = [];

  storeRevision = Revision.parse(1);

  readonly node: ConfigNode;

  #later: (() => void)[] = [];

  constructor(self: InstanceRecord, list: readonly InstanceRecord[]) {
    const ports: ConfigPorts = {
      readDocuments: (respond) => {
        this.reads += 1;
        const answer = this.isStoreDown
          ? fail('store_unavailable', 'outage')
          : Ok({ records: this.stored, revision: this.storeRevision });
        this.#later.push(() => respond(answer));
      },
      watchDocuments: (from, listener) => {
        this.watch = { from, listener };
        return () => {
          this.watch = null;
        };
      },
      fetchInstances: (respond) => this.#later.push(() => respond(Ok(list))),
      followPeer: (peer, _self, _known, listener) => {
        this.links.set(peer.id, listener);
        this.opened.push(peer.id);
        return () => this.links.delete(peer.id);
      },
      tellPeer: () => {},
      warn: () => {},
    };
    const random = new SeededRandom(SEED);
    this.node = new ConfigNode({
      self: { record: self, sequence: 1 },
      clock: this.clock,
      random,
      ports,
    });
  }

  /** Lets time pass in ticks; every followed peer in `confirming` sends heartbeats. */
  advance(durationMs: number, confirming: ReadonlyMap<string, number | null> = new Map()): void {
    for (let passed = 0; passed < durationMs; passed += 100) {
      this.clock.advance(100);
      this.node.tick();
      const later = this.#later;
      this.#later = [];
      for (const event of later) event();
      for (const [id, confirmationAgeMs] of confirming) {
        this.send(id, { kind: 'heartbeat', confirmationAgeMs, outsideContactAgeMs: null });
      }
      this.watch?.listener.acceptProgress(this.storeRevision);
    }
  }

  send(id: string, event: RelayEvent): void {
    this.links.get(id)?.acceptEvent(event);
  }

  sendDocument(id: string, document: VersionedDocument): void {
    this.send(id, { kind: 'document', document });
  }

  getRevision(name: string): number | undefined {
    return this.node.table.getDocument(name)?.revision;
  }
}

const zone = Array.from({ length: 8 }, (_, index) => createInstance(`p${index}`, 'a'));
const relays = chooseRelays('a', zone, 3).map(({ id }) => id as string);
// The last by score does not become a relay when another one fails.
const follower = chooseRelays('a', zone, zone.length).pop() as InstanceRecord;
const relay = zone.find(({ id }) => relays.includes(id)) as InstanceRecord;
const all = (ageMs: number | null): Map<string, number | null> =>
  new Map(zone.map(({ id }) => [id, ageMs]));

describe('DocumentTable', () => {
  // Guards against events that arrive late, twice or in another order and bring back an old
  // document, and against a deleted service that returns.
  it('ends at the highest revision in every order and never goes back', () => {
    const events = fc.array(
      fc.record({
        name: fc.constantFrom('x', 'y'),
        revision: fc.integer({ min: 1, max: 30 }),
      }),
      { minLength: 1, maxLength: 40 },
    );
    fc.assert(
      fc.property(events, (list) => {
        const seen: number[] = [];
        const table = new DocumentTable(({ name, revision }) => {
          if (name === 'x') seen.push(revision);
        });
        // Every third revision is a tombstone.
        for (const { name, revision } of list) {
          table.apply(createVersion(name, revision, revision % 3 === 0));
        }
        expect(seen).toEqual([...new Set(seen)].sort((left, right) => left - right));
        const highest = Math.max(
          0,
          ...list.filter(({ name }) => name === 'x').map((e) => e.revision),
        );
        expect(table.getDocument('x')?.revision ?? 0).toBe(highest);
        if (highest > 0) expect(table.getDocument('x')?.document === null).toBe(highest % 3 === 0);
      }),
      { seed: SEED, numRuns: 300 },
    );
  });

  // Guards against a full read that is older than what relays have brought since, and against a
  // value that cannot be read passing for a deletion.
  it('makes tombstones only for services that a newer full read does not hold', () => {
    const table = new DocumentTable();
    table.apply(createVersion('old', 5));
    table.apply(createVersion('new', 12));
    table.apply(createVersion('bad', 5));
    table.applySnapshot([createVersion('kept', 4)], Revision.parse(10), new Set(['bad']));
    expect(table.getDocument('old')).toMatchObject({ revision: 10, document: null });
    expect(table.getDocument('new')?.document).not.toBeNull();
    expect(table.getDocument('bad')?.document).not.toBeNull();
    expect(table.apply(createVersion('old', 9))).toBe(false);
  });
});

describe('StoreSource', () => {
  function createSource(table: DocumentTable): { bed: Bed; source: StoreSource } {
    const bed = new Bed(relay, zone);
    const random = new SeededRandom(SEED);
    const ports: ConfigPorts = {
      ...({} as ConfigPorts),
      readDocuments: (respond) => {
        bed.reads += 1;
        respond(Ok({ records: bed.stored, revision: bed.storeRevision }));
      },
      watchDocuments: (from, listener) => {
        bed.watch = { from, listener };
        return () => undefined;
      },
      warn: () => undefined,
    };
    const source = new StoreSource({ clock: bed.clock, random, ports, table });
    source.start();
    bed.clock.advance(300);
    source.tick();
    return { bed, source };
  }

  // Guards against a deletion that falls into a compacted part of the history.
  it('reads everything after a gap and finds what was deleted meanwhile', () => {
    const table = new DocumentTable();
    const base = new Bed(relay, zone);
    base.stored = [createStored('x', 3)];
    const { bed, source } = createSource(table);
    table.apply(createVersion('x', 3));
    bed.storeRevision = Revision.parse(20);
    bed.watch?.listener.acceptEnd('gap');
    bed.clock.advance(500);
    source.tick();
    expect(bed.reads).toBe(2);
    expect(table.getDocument('x')).toMatchObject({ revision: 20, document: null });
    expect(bed.watch?.from).toBe(21);
  });

  // Guards against a watch that resumes behind a revision of which only one key had arrived.
  it('resumes at the revision of the last change until progress passes it', () => {
    const { bed, source } = createSource(new DocumentTable());
    bed.watch?.listener.acceptChange(createStored('x', 7));
    bed.watch?.listener.acceptEnd('failed');
    bed.clock.advance(500);
    source.tick();
    expect(bed.watch?.from).toBe(7);
    bed.watch?.listener.acceptProgress(Revision.parse(9));
    bed.watch?.listener.acceptEnd('failed');
    bed.clock.advance(500);
    source.tick();
    expect(bed.watch?.from).toBe(10);
    expect(bed.reads).toBe(1);
  });

  // Guards against a watch that goes silent while its client does not notice.
  it('replaces a watch without progress', () => {
    const { bed, source } = createSource(new DocumentTable());
    const first = bed.watch;
    const confirmedAt = source.getConfirmedAt();
    for (let tick = 0; tick < 40; tick += 1) {
      bed.clock.advance(100);
      source.tick();
    }
    expect(bed.watch).not.toBe(first);
    first?.listener.acceptProgress(Revision.parse(50));
    expect(source.getConfirmedAt()).toBe(confirmedAt);
  });
});

describe('ConfigFollower', () => {
  // Guards against a fleet that starts together and reads and watches the store as a whole.
  it('follows two relays of its zone and leaves the store alone', () => {
    const bed = new Bed(follower, zone);
    bed.advance(5000, all(100));
    expect([...bed.links.keys()].every((id) => relays.includes(id))).toBe(true);
    expect(bed.links.size).toBe(2);
    expect(bed.reads).toBe(0);
    expect(bed.node.follower.getFreshness()).toMatchObject({ state: 'fresh', ready: true });
    const chosen = new Bed(relay, zone);
    chosen.advance(2000);
    expect(chosen.watch).not.toBeNull();
  });

  // Guards against a follower that trusts a relay which answers but has lost the store.
  it('replaces a relay that lags behind another one', () => {
    const bed = new Bed(follower, zone);
    bed.advance(5000, all(100));
    const [lagging] = bed.links.keys();
    for (let seconds = 1; seconds <= 8; seconds += 1) {
      bed.advance(1000, new Map([...all(100), [lagging as string, seconds * 1000]]));
    }
    expect(bed.links.size).toBe(2);
    expect([...bed.links.keys()]).not.toContain(lagging);
    expect(bed.node.follower.getFreshness().state).toBe('fresh');
  });

  // Guards against a process that wakes, finds old heartbeats and documents in its sockets and
  // takes them for new ones.
  it('trusts nothing that waited while it was paused', () => {
    const bed = new Bed(follower, zone);
    bed.advance(5000, all(100));
    const [first] = bed.links.keys();
    const [listener] = bed.links.values();
    bed.sendDocument(first as string, createVersion('x', 9));
    const { lastStoreConfirmationAt } = bed.node.follower.getFreshness();
    bed.clock.advance(60_000);
    const heartbeat = { kind: 'heartbeat', confirmationAgeMs: 0, outsideContactAgeMs: 0 } as const;
    listener?.acceptEvent(heartbeat);
    listener?.acceptEvent({ kind: 'document', document: createVersion('x', 4) });
    const freshness = bed.node.follower.getFreshness();
    expect(freshness.lastStoreConfirmationAt).toBe(lastStoreConfirmationAt);
    expect(freshness.state).toBe('cut_off');
    expect(bed.getRevision('x')).toBe(9);
    bed.advance(1000, all(100));
    // A relay that was paused itself still sends its old revision.
    bed.sendDocument(first as string, createVersion('x', 4));
    expect(bed.getRevision('x')).toBe(9);
    expect(bed.node.follower.getFreshness().state).toBe('fresh');
  });

  // Guards against a process that stays without configuration because its relays went silent.
  it('falls back to the store when no relay answers', () => {
    const others = [follower, ...zone.filter(({ id }) => relays.includes(id))];
    const bed = new Bed(follower, others);
    bed.advance(3000, all(100));
    bed.stored = [createStored('x', 5)];
    bed.storeRevision = Revision.parse(5);
    bed.advance(8000);
    expect(bed.getRevision('x')).toBe(5);
  });

  // Guards against a store that all processes read when it answers nobody or returns.
  it('reads the store rarely while relays answer without a confirmation', () => {
    let reads = 0;
    const large = [...zone];
    for (let index = 0; index < 1000; index += 1) {
      large.push(createInstance(`q${index}`, 'b'));
    }
    for (let index = 0; index < 20; index += 1) {
      const bed = new Bed(follower, large);
      bed.advance(3000, all(100));
      for (let ageMs = 3000; ageMs < 13_000; ageMs += 1000) bed.advance(1000, all(ageMs));
      reads += bed.reads;
      expect(bed.node.follower.getFreshness().state).toBe('stale');
    }
    // 25 reads a second over 1,008 processes let one process read once in 40 s.
    expect(reads).toBeLessThanOrEqual(10);
  });

  // Guards against taking the documents of the own process for confirmed by a peer that never was.
  it('is ready after a restart in an outage only with a complete set from a peer', () => {
    const bed = new Bed(follower, zone);
    bed.isStoreDown = true;
    bed.advance(1000, all(null));
    expect(bed.node.follower.getFreshness().ready).toBe(false);
    bed.sendDocument(relays[0] as string, createVersion('x', 9));
    bed.advance(1000, all(600_000));
    expect(bed.node.follower.getFreshness()).toMatchObject({ ready: true, state: 'stale' });
  });
});

describe('RelayFeed', () => {
  // Guards against a slow follower that fills the relay's memory with outdated revisions, and
  // against a heartbeat that confirms what has not been sent.
  it('sends a slow follower only the newest revision, and no heartbeat before it', () => {
    const bed = new Bed(relay, zone);
    bed.advance(2000);
    const events: RelayEvent[] = [];
    let isFull = false;
    bed.node.addFollower(null, new Map(), {
      send: (event) => events.push(event),
      isFull: () => isFull,
    });
    isFull = true;
    events.length = 0;
    for (const revision of [2, 3, 4]) bed.node.table.apply(createVersion('x', revision));
    bed.advance(2000);
    expect(events).toEqual([]);
    isFull = false;
    bed.advance(100);
    expect(events.map(({ kind }) => kind)).toEqual(['document', 'heartbeat']);
    expect(events[0]).toMatchObject({ document: { revision: 4 } });
  });
});

describe('Membership', () => {
  const live = createInstance('m', 'a');
  const leaving: InstanceRecord = { ...live, state: 'leaving' };

  // Guards against a lagging list that revives a leaving instance or retires a restarted one.
  it('prefers the statement of the instance to the lagging list', () => {
    const clock = new ManualClock();
    const membership = new Membership(clock);
    membership.applyList([live]);
    membership.acceptStatement({ record: leaving, sequence: 5 });
    membership.applyList([live]);
    expect(membership.isLeaving('m')).toBe(true);
    membership.acceptStatement({ record: live, sequence: 6 });
    membership.acceptStatement({ record: leaving, sequence: 5 });
    expect(membership.isLeaving('m')).toBe(false);
    membership.applyList([leaving]);
    expect(membership.isLeaving('m')).toBe(true);
    membership.acceptStatement({ record: live, sequence: 7 });
    membership.applyList([leaving]);
    expect(membership.isLeaving('m')).toBe(false);
  });

  // Guards against a new instance that disappears because the list does not show it yet, and
  // against a dead one that stays for ever.
  it('keeps an instance that the list does not show for a while', () => {
    const clock = new ManualClock();
    const membership = new Membership(clock);
    membership.acceptStatement({ record: live, sequence: 1 });
    membership.applyList([]);
    expect(membership.countInstances()).toBe(1);
    clock.advance(30_000);
    membership.applyList([]);
    expect(membership.countInstances()).toBe(0);
  });

  // Guards against changes lost between two processes with different histories.
  it('hands on changes so that the receiver ends with the same view', () => {
    const names = ['a', 'b', 'c', 'd', 'e'];
    const lists = fc.array(fc.subarray(names), { minLength: 1, maxLength: 12 });
    fc.assert(
      fc.property(lists, fc.integer({ min: 1, max: 4 }), (steps, every) => {
        const clock = new ManualClock();
        const [source, receiver] = [new Membership(clock), new Membership(clock)];
        let version: number | null = null;
        for (const [index, step] of steps.entries()) {
          source.applyList(step.map((name) => createInstance(name, 'a')));
          if (index % every !== 0 && index !== steps.length - 1) continue;
          receiver.applyChanges(source.listChanges(version));
          version = source.getVersion();
        }
        const list = ({ listInstances }: { listInstances: () => InstanceRecord[] }): string[] =>
          listInstances().map(({ id }) => id);
        expect(list({ listInstances: () => receiver.listInstances() }).sort()).toEqual(
          list({ listInstances: () => source.listInstances() }).sort(),
        );
      }),
      { seed: SEED },
    );
  });
});

// Guards against processes that failed together and return together.
it('spreads retries over the whole growing bound', () => {
  const random = new SeededRandom(SEED);
  const counts = [0, 0, 0, 0];
  for (let index = 0; index < 4000; index += 1) {
    const backoff = new Backoff({ random, baseMs: 100, capMs: 400 });
    for (let attempt = 0; attempt < 5; attempt += 1) backoff.next();
    const slot = Math.floor(backoff.next() / 100);
    counts[slot] = (counts[slot] ?? 0) + 1;
  }
  for (const count of counts) expect(Math.abs(count - 1000)).toBeLessThan(150);
});
