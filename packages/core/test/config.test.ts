import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  Backoff,
  ConfigNode,
  DocumentTable,
  Era,
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

/** A `ConfigNode` with simulated store, instance list and peers. */
class NodeFixture {
  readonly clock = new ManualClock(1000);

  readonly links = new Map<string, LinkListener>();

  readonly opened: string[] = [];

  reads = 0;

  isStoreDown = false;

  watch: { from: number; listener: StoreWatchListener } | null = null;

  stored: StoreRecord[] = [];

  storeRevision = Revision.parse(1);

  era = Era.parse('1');

  readonly node: ConfigNode;

  #pendingAnswers: (() => void)[] = [];

  constructor(self: InstanceRecord, list: readonly InstanceRecord[]) {
    const ports: ConfigPorts = {
      readDocuments: (respond) => {
        this.reads += 1;
        const answer = this.isStoreDown
          ? fail('store_unavailable', 'outage')
          : Ok({ records: this.stored, era: this.era, revision: this.storeRevision });
        this.#pendingAnswers.push(() => respond(answer));
      },
      watchDocuments: (from, listener) => {
        this.watch = { from: from.revision, listener };
        return () => {
          this.watch = null;
        };
      },
      fetchInstances: (respond) => this.#pendingAnswers.push(() => respond(Ok(list))),
      followPeer: (peer, _self, _known, listener) => {
        this.links.set(peer.id, listener);
        this.opened.push(peer.id);
        return () => this.links.delete(peer.id);
      },
      notifyPeer: () => {},
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

  /** Advances the time in ticks of 100 ms; every followed peer in `confirming` sends heartbeats. */
  advance(durationMs: number, confirming: ReadonlyMap<string, number | null> = new Map()): void {
    for (let passed = 0; passed < durationMs; passed += 100) {
      this.clock.advance(100);
      this.node.tick();
      const answers = this.#pendingAnswers;
      this.#pendingAnswers = [];
      for (const deliver of answers) deliver();
      for (const [id, confirmationAgeMs] of confirming) {
        this.send(id, { kind: 'heartbeat', confirmationAgeMs, outsideContactAgeMs: null });
      }
      this.watch?.listener.onProgress(this.storeRevision);
    }
  }

  send(id: string, event: RelayEvent): void {
    this.links.get(id)?.onEvent(event);
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
// The instance with the lowest score does not become a relay when another one fails.
const follower = chooseRelays('a', zone, zone.length).pop() as InstanceRecord;
const relay = zone.find(({ id }) => relays.includes(id)) as InstanceRecord;
const all = (ageMs: number | null): Map<string, number | null> =>
  new Map(zone.map(({ id }) => [id, ageMs]));

describe('DocumentTable', () => {
  // Guards against events that arrive late, twice or out of order and restore an old document, and
  // against a deleted service that reappears.
  it('ends at the highest revision for any order of events and never decreases', () => {
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

  // Guards against a full read that deletes newer documents from relays, and against treating a
  // value that cannot be decoded as a deletion.
  it('creates tombstones only for services missing from a newer full read', () => {
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
  function createSource(table: DocumentTable): { fixture: NodeFixture; source: StoreSource } {
    const fixture = new NodeFixture(relay, zone);
    const random = new SeededRandom(SEED);
    const ports: ConfigPorts = {
      ...({} as ConfigPorts),
      readDocuments: (respond) => {
        fixture.reads += 1;
        const { stored: records, era, storeRevision: revision } = fixture;
        respond(Ok({ records, era, revision }));
      },
      watchDocuments: (from, listener) => {
        fixture.watch = { from: from.revision, listener };
        return () => undefined;
      },
      warn: () => undefined,
    };
    const source = new StoreSource({ clock: fixture.clock, random, ports, table });
    source.start();
    fixture.clock.advance(300);
    source.tick();
    return { fixture, source };
  }

  // Guards against missing a deletion whose revision the store has compacted.
  it('reads all documents after a gap and detects deletions', () => {
    const table = new DocumentTable();
    const base = new NodeFixture(relay, zone);
    base.stored = [createStored('x', 3)];
    const { fixture, source } = createSource(table);
    table.apply(createVersion('x', 3));
    fixture.storeRevision = Revision.parse(20);
    fixture.watch?.listener.onEnd('gap');
    fixture.clock.advance(500);
    source.tick();
    expect(fixture.reads).toBe(2);
    expect(table.getDocument('x')).toMatchObject({ revision: 20, document: null });
    expect(fixture.watch?.from).toBe(21);
  });

  function restoreStore(
    { fixture, source }: ReturnType<typeof createSource>,
    stored: StoreRecord[],
    revision: number,
  ): void {
    Object.assign(fixture, {
      stored,
      storeRevision: Revision.parse(revision),
      era: Era.parse('2'),
    });
    fixture.watch?.listener.onEnd('restored');
    fixture.clock.advance(500);
    source.tick();
  }

  // Guards against a document that goes back because the store was restored from an older copy.
  it('keeps the documents that a store restored from a copy has lost', () => {
    const table = new DocumentTable();
    const created = createSource(table);
    table.apply(createVersion('x', 30));
    table.apply(createVersion('new', 31));
    restoreStore(created, [createStored('x', 20)], 40);
    expect(created.fixture.reads).toBe(2);
    expect(table.getDocument('x')?.revision).toBe(30);
    expect(table.getDocument('new')?.document).not.toBeNull();
    created.fixture.watch?.listener.onEnd('gap');
    created.fixture.clock.advance(500);
    created.source.tick();
    expect(created.fixture.reads).toBe(3);
    expect(table.getDocument('new')?.document).not.toBeNull();
  });

  // Guards against documents that are ignored until the revision of the restored store has passed
  // the one known before.
  it('follows documents that are accepted after the store was restored from a copy', () => {
    const table = new DocumentTable();
    const created = createSource(table);
    table.apply(createVersion('x', 30));
    restoreStore(created, [createStored('x', 20)], 20);
    const accepted = encodeStoredDocument(createDocument('x'), 'later', 31);
    const change = { ...createStored('x', 21), value: accepted };
    created.fixture.watch?.listener.onChange(change);
    expect(table.getDocument('x')).toMatchObject({ revision: 31, operationId: 'later' });
  });

  // Guards against a service that stays because it was missing in an earlier era.
  it('deletes a service that the restored store had and has no longer', () => {
    const table = new DocumentTable();
    const created = createSource(table);
    table.apply(createVersion('x', 30));
    restoreStore(created, [], 40);
    created.fixture.watch?.listener.onChange(createStored('x', 41));
    created.fixture.stored = [];
    created.fixture.storeRevision = Revision.parse(50);
    created.fixture.watch?.listener.onEnd('gap');
    created.fixture.clock.advance(500);
    created.source.tick();
    expect(table.getDocument('x')).toMatchObject({ revision: 50, document: null });
  });

  // Guards against a watch that resumes after a revision of which only one key had arrived.
  it('resumes at the revision of the last change until the watch reports progress beyond it', () => {
    const { fixture, source } = createSource(new DocumentTable());
    fixture.watch?.listener.onChange(createStored('x', 7));
    fixture.watch?.listener.onEnd('failed');
    fixture.clock.advance(500);
    source.tick();
    expect(fixture.watch?.from).toBe(7);
    fixture.watch?.listener.onProgress(Revision.parse(9));
    fixture.watch?.listener.onEnd('failed');
    fixture.clock.advance(500);
    source.tick();
    expect(fixture.watch?.from).toBe(10);
    expect(fixture.reads).toBe(1);
  });

  // Guards against a watch that stalls while its client does not detect it.
  it('replaces a watch without progress', () => {
    const { fixture, source } = createSource(new DocumentTable());
    const first = fixture.watch;
    const confirmedAt = source.getConfirmedAt();
    for (let tick = 0; tick < 40; tick += 1) {
      fixture.clock.advance(100);
      source.tick();
    }
    expect(fixture.watch).not.toBe(first);
    first?.listener.onProgress(Revision.parse(50));
    expect(source.getConfirmedAt()).toBe(confirmedAt);
  });
});

describe('ConfigFollower', () => {
  // Guards against a fleet that starts together and whose processes all read and watch the store.
  it('follows two relays of its zone and does not call the store', () => {
    const fixture = new NodeFixture(follower, zone);
    fixture.advance(5000, all(100));
    expect([...fixture.links.keys()].every((id) => relays.includes(id))).toBe(true);
    expect(fixture.links.size).toBe(2);
    expect(fixture.reads).toBe(0);
    expect(fixture.node.follower.getFreshness()).toMatchObject({ state: 'fresh', ready: true });
    const chosen = new NodeFixture(relay, zone);
    chosen.advance(2000);
    expect(chosen.watch).not.toBeNull();
  });

  // Guards against a follower that keeps a relay which answers but has lost contact with the store.
  it('replaces a relay that lags behind another one', () => {
    const fixture = new NodeFixture(follower, zone);
    fixture.advance(5000, all(100));
    const [lagging] = fixture.links.keys();
    for (let seconds = 1; seconds <= 8; seconds += 1) {
      fixture.advance(1000, new Map([...all(100), [lagging as string, seconds * 1000]]));
    }
    expect(fixture.links.size).toBe(2);
    expect([...fixture.links.keys()]).not.toContain(lagging);
    expect(fixture.node.follower.getFreshness().state).toBe('fresh');
  });

  // Guards against a process that resumes after a pause and treats old heartbeats and documents in
  // its sockets as new ones.
  it('ignores events that were queued while it was paused', () => {
    const fixture = new NodeFixture(follower, zone);
    fixture.advance(5000, all(100));
    const [first] = fixture.links.keys();
    const [listener] = fixture.links.values();
    fixture.sendDocument(first as string, createVersion('x', 9));
    const { lastStoreConfirmationAt } = fixture.node.follower.getFreshness();
    fixture.clock.advance(60_000);
    const heartbeat = { kind: 'heartbeat', confirmationAgeMs: 0, outsideContactAgeMs: 0 } as const;
    listener?.onEvent(heartbeat);
    listener?.onEvent({ kind: 'document', document: createVersion('x', 4) });
    const freshness = fixture.node.follower.getFreshness();
    expect(freshness.lastStoreConfirmationAt).toBe(lastStoreConfirmationAt);
    expect(freshness.state).toBe('cut_off');
    expect(fixture.getRevision('x')).toBe(9);
    fixture.advance(1000, all(100));
    // A relay that was paused itself still sends its old revision.
    fixture.sendDocument(first as string, createVersion('x', 4));
    expect(fixture.getRevision('x')).toBe(9);
    expect(fixture.node.follower.getFreshness().state).toBe('fresh');
  });

  // Guards against a process that stays without configuration because its relays are unresponsive.
  it('falls back to the store when no relay answers', () => {
    const others = [follower, ...zone.filter(({ id }) => relays.includes(id))];
    const fixture = new NodeFixture(follower, others);
    fixture.advance(3000, all(100));
    fixture.stored = [createStored('x', 5)];
    fixture.storeRevision = Revision.parse(5);
    fixture.advance(8000);
    expect(fixture.getRevision('x')).toBe(5);
  });

  // Guards against direct reads by all processes while the store is unavailable or recovers.
  it('reads the store rarely while relays answer without a confirmation', () => {
    let reads = 0;
    const largeFleet = [...zone];
    for (let index = 0; index < 1000; index += 1) {
      largeFleet.push(createInstance(`q${index}`, 'b'));
    }
    for (let index = 0; index < 20; index += 1) {
      const fixture = new NodeFixture(follower, largeFleet);
      fixture.advance(3000, all(100));
      for (let ageMs = 3000; ageMs < 13_000; ageMs += 1000) fixture.advance(1000, all(ageMs));
      reads += fixture.reads;
      expect(fixture.node.follower.getFreshness().state).toBe('stale');
    }
    // At 25 reads a second for 1,008 processes, one process reads once in 40 s.
    expect(reads).toBeLessThanOrEqual(10);
  });

  // Guards against becoming ready through a peer whose documents the store has never confirmed.
  it('is ready after a restart in an outage only with a confirmed set of documents from a peer', () => {
    const fixture = new NodeFixture(follower, zone);
    fixture.isStoreDown = true;
    fixture.advance(1000, all(null));
    expect(fixture.node.follower.getFreshness().ready).toBe(false);
    fixture.sendDocument(relays[0] as string, createVersion('x', 9));
    fixture.advance(1000, all(600_000));
    expect(fixture.node.follower.getFreshness()).toMatchObject({ ready: true, state: 'stale' });
  });
});

describe('RelayFeed', () => {
  // Guards against outdated revisions that a relay buffers for a slow follower, and against a
  // heartbeat that confirms documents that have not been sent.
  it('sends a slow follower only the newest revision, and no heartbeat before it', () => {
    const fixture = new NodeFixture(relay, zone);
    fixture.advance(2000);
    const events: RelayEvent[] = [];
    let isFull = false;
    fixture.node.addFollower(null, new Map(), {
      send: (event) => events.push(event),
      isFull: () => isFull,
    });
    isFull = true;
    events.length = 0;
    for (const revision of [2, 3, 4]) fixture.node.table.apply(createVersion('x', revision));
    fixture.advance(2000);
    expect(events).toEqual([]);
    isFull = false;
    fixture.advance(100);
    expect(events.map(({ kind }) => kind)).toEqual(['document', 'heartbeat']);
    expect(events[0]).toMatchObject({ document: { revision: 4 } });
  });
});

describe('Membership', () => {
  const live = createInstance('m', 'a');
  const leaving: InstanceRecord = { ...live, state: 'leaving' };

  // Guards against a lagging list that marks a leaving instance as live or a restarted one as
  // leaving.
  it('prefers the statement of an instance to the lagging list', () => {
    const clock = new ManualClock();
    const membership = new Membership(clock);
    membership.applyList([live]);
    membership.handleAnnouncement({ record: leaving, sequence: 5 });
    membership.applyList([live]);
    expect(membership.isLeaving('m')).toBe(true);
    membership.handleAnnouncement({ record: live, sequence: 6 });
    membership.handleAnnouncement({ record: leaving, sequence: 5 });
    expect(membership.isLeaving('m')).toBe(false);
    membership.applyList([leaving]);
    expect(membership.isLeaving('m')).toBe(true);
    membership.handleAnnouncement({ record: live, sequence: 7 });
    membership.applyList([leaving]);
    expect(membership.isLeaving('m')).toBe(false);
  });

  // Guards against removing a new instance because the list does not show it yet, and against
  // keeping an ended one indefinitely.
  it('keeps an instance that the list does not show for a limited time', () => {
    const clock = new ManualClock();
    const membership = new Membership(clock);
    membership.handleAnnouncement({ record: live, sequence: 1 });
    membership.applyList([]);
    expect(membership.countInstances()).toBe(1);
    clock.advance(30_000);
    membership.applyList([]);
    expect(membership.countInstances()).toBe(0);
  });

  // Guards against missing changes between two processes with different histories.
  it('sends changes after which the receiver has the same instances', () => {
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

// Guards against processes that failed together and retry at the same time.
it('spreads retries over the whole range, which grows with each attempt', () => {
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
