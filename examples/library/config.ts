import {
  ConfigFollower,
  DocumentTable,
  InstanceRecord,
  ManualClock,
  Membership,
  Ok,
  Revision,
  SeededRandom,
  ServiceDocument,
  encodeStoredDocument,
  getServiceKey,
  servicePrefix,
} from '@limpetbay/core';
import { MemoryStore } from '@limpetbay/standins';

const clock = new ManualClock();
const store = new MemoryStore(clock, new SeededRandom(1));
const record = InstanceRecord.parse({
  id: 'entry-a-1',
  role: 'entry',
  zone: 'a',
  address: '10.0.1.11:7000',
  state: 'live',
});

// Prints each change of a document.
const table = new DocumentTable(({ name, revision, document }) => {
  const zones = document === null ? 'deleted' : `zones ${document.zones.in.join(' ')}`;
  process.stdout.write(`${name} at revision ${revision}: ${zones}\n`);
});

// The only instance of its zone reads and watches the store itself. This example has no peers.
const follower = new ConfigFollower({
  self: { record, sequence: 1 },
  clock,
  random: new SeededRandom(2),
  table,
  membership: new Membership(clock, record.id),
  ports: {
    readDocuments: (respond) => {
      void store.readPrefix(servicePrefix).then(respond);
    },
    watchDocuments: (from, listener) => store.watch(servicePrefix, from, listener),
    fetchInstances: (respond) => {
      void Promise.resolve(Ok([record])).then(respond);
    },
    followPeer: () => () => undefined,
    notifyPeer: () => undefined,
    warn: (sentence) => process.stdout.write(`${sentence}\n`),
  },
});

/** Advances the clock in steps of 10 ms; the store answers, and the follower ticks each 100 ms. */
async function advance(durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
    clock.advance(10);
    store.tick();
    if (elapsedMs % 100 === 0) follower.tick();
    await new Promise(setImmediate);
  }
}

/** Writes a document by compare-and-swap, as `limpetbay accept` does. */
async function accept(zones: readonly string[], revision: number): Promise<void> {
  const document = ServiceDocument.parse({
    service: { name: 'bookings', kind: 'plain' },
    zones: { in: zones },
    targets: { include: ['bookings-*'] },
    ramp: {},
    limits: {},
    keys: {},
  });
  const key = getServiceKey('bookings');
  const commit = store.commit({
    conditions: [{ key, revision: Revision.parse(revision) }],
    writes: [{ key, value: encodeStoredDocument(document, `operation-${revision}`) }],
  });
  await advance(500);
  process.stdout.write(`accepted: ${(await commit).unwrap().committed}\n`);
}

await advance(500);
await accept(['a', 'b'], 0);
await accept(['a'], table.getDocument('bookings')!.revision);
// An operator whose document is based on an old revision is rejected, and nothing changes.
await accept(['b'], 0);
process.stdout.write(`state: ${follower.getFreshness().state}\n`);
follower.stop();
