import {
  DocumentTable,
  InstanceRecord,
  ManualClock,
  Membership,
  RelayFeed,
  type RelayEvent,
  type VersionedDocument,
} from '@limpetbay/core';
import { decodeRelayEvent, encodeRelayEvent, loadRelayService } from '@limpetbay/rpc';
import type { RelayMessages } from '@limpetbay/rpc';
import type { CapacitySlope } from './CapacitySlope.js';
import { createDocument } from './createDocument.js';
import { createInstances } from './createInstances.js';
import { measureCpu } from './measureCpu.js';
import { measureHeap } from './measureHeap.js';
import { measureSlope } from './measureSlope.js';

const RANKS = [8, 32, 128, 256];
const FLEETS = [271, 678, 1355, 2710];
const FOLLOWERS = [16, 32, 64];
const TICKS_PER_SECOND = 10;
const SECONDS = 60;
const { responseSerialize, responseDeserialize } = loadRelayService().service.Follow!;

interface Feed {
  readonly clock: ManualClock;
  readonly feed: RelayFeed;
  readonly table: DocumentTable;
  readonly membership: Membership;
}

function createFeed(): Feed {
  const clock = new ManualClock();
  const table = new DocumentTable();
  const membership = new Membership(clock);
  const feed = new RelayFeed({
    clock,
    table,
    membership,
    hasInstanceList: () => true,
    getConfirmedAt: () => clock.getNow() - 120,
    getOutsideContactAt: () => clock.getNow() - 80,
  });
  return { clock, feed, table, membership };
}

function encodeMessage(event: RelayEvent): Buffer {
  return responseSerialize(encodeRelayEvent(event));
}

function runSeconds({ clock, feed }: Feed, seconds: number): void {
  for (let tick = 0; tick < seconds * TICKS_PER_SECOND; tick += 1) {
    clock.advance(1000 / TICKS_PER_SECOND);
    feed.tick();
  }
}

/** Bytes a second of heartbeats over followers, from the messages that the feed sends. */
async function measureHeartbeats(): Promise<CapacitySlope> {
  return measureSlope(
    { id: 'relay.heartbeat', unit: 'bytes/s', per: 'follower', kind: 'exact' },
    FOLLOWERS,
    (count) => {
      const state = createFeed();
      let bytes = 0;
      const send = (event: RelayEvent): void => {
        if (event.kind === 'heartbeat') bytes += encodeMessage(event).byteLength;
      };
      for (let index = 0; index < count; index += 1) {
        state.feed.addFollower(new Map(), { send, isFull: () => false });
      }
      bytes = 0;
      runSeconds(state, SECONDS);
      return bytes / SECONDS;
    },
  );
}

/** Time a second of the feed and its encoding over followers. */
async function measureFeedTime(): Promise<CapacitySlope> {
  return measureSlope(
    { id: 'relay.follower-time', unit: 'us/s', per: 'follower', kind: 'time' },
    FOLLOWERS,
    (count) => {
      const state = createFeed();
      const sink = { send: (event: RelayEvent) => void encodeMessage(event), isFull: () => false };
      for (let index = 0; index < count; index += 1) state.feed.addFollower(new Map(), sink);
      runSeconds(state, SECONDS);
      return measureCpu(1, () => runSeconds(state, SECONDS)) / SECONDS;
    },
  );
}

/** Bytes to one follower over membership changes: leaving, gone, and live again at each restart. */
async function measureChurn(): Promise<CapacitySlope> {
  return measureSlope(
    { id: 'relay.restart', unit: 'bytes', per: 'restart', kind: 'exact' },
    [40, 80, 156],
    (count) => {
      const state = createFeed();
      const records = createInstances(400);
      state.membership.applyList(records);
      let bytes = 0;
      const send = (event: RelayEvent): void => {
        if (event.kind === 'instances') bytes += encodeMessage(event).byteLength;
      };
      state.feed.addFollower(new Map(), { send, isFull: () => false });
      runSeconds(state, 1);
      bytes = 0;
      for (let index = 0; index < count; index += 1) {
        const record = records[index]!;
        const leaving = InstanceRecord.parse({ ...record, state: 'leaving' });
        state.membership.handleAnnouncement({ record: leaving, sequence: 1_767_225_600_000_000 });
        runSeconds(state, 31);
        state.membership.applyList(records.filter((other) => other !== record));
        runSeconds(state, 1);
        state.membership.applyList(records);
        runSeconds(state, 1);
        state.membership.handleAnnouncement({ record, sequence: 1_767_225_700_000_000 });
        runSeconds(state, 1);
      }
      return bytes;
    },
  );
}

async function measureDocuments(): Promise<CapacitySlope[]> {
  const documents = new Map<number, VersionedDocument>();
  for (const ranks of RANKS) documents.set(ranks, createDocument(ranks, 3500));
  const build = (ranks: number): Buffer =>
    encodeMessage({ kind: 'document', document: documents.get(ranks)! });
  const handleChange = (ranks: number): void => {
    const message = responseDeserialize(build(ranks)) as RelayMessages['RelayEvent'];
    if (decodeRelayEvent(message) === null) throw new Error('the document cannot be decoded');
  };
  return [
    await measureSlope(
      { id: 'relay.document', unit: 'bytes', per: 'rank in the document', kind: 'exact' },
      RANKS,
      (ranks) => build(ranks).byteLength,
    ),
    await measureSlope(
      { id: 'relay.document-time', unit: 'us', per: 'rank in the document', kind: 'time' },
      RANKS,
      (ranks) => {
        measureCpu(50, () => handleChange(ranks));
        return measureCpu(200, () => handleChange(ranks)) / 200;
      },
    ),
  ];
}

async function measureMembership(): Promise<CapacitySlope[]> {
  return [
    await measureSlope(
      { id: 'membership.memory', unit: 'bytes', per: 'instance known', kind: 'memory' },
      FLEETS,
      (count) =>
        measureHeap(() => {
          const membership = new Membership(new ManualClock());
          membership.applyList(createInstances(count));
          return membership;
        }),
    ),
    await measureSlope(
      { id: 'membership.full', unit: 'bytes', per: 'instance known', kind: 'exact' },
      FLEETS,
      (count) => {
        const membership = new Membership(new ManualClock());
        membership.applyList(createInstances(count));
        return encodeMessage({ kind: 'instances', ...membership.listChanges(null) }).byteLength;
      },
    ),
    await measureSlope(
      { id: 'list.read', unit: 'bytes', per: 'instance', kind: 'exact' },
      FLEETS,
      (count) => Buffer.byteLength(JSON.stringify(createInstances(count))),
    ),
    await measureSlope(
      { id: 'list.read-time', unit: 'us', per: 'instance', kind: 'time' },
      FLEETS,
      (count) => {
        const body = JSON.stringify(createInstances(count));
        const membership = new Membership(new ManualClock());
        const read = (): void => {
          const records: InstanceRecord[] = [];
          for (const item of JSON.parse(body) as unknown[]) {
            const parsed = InstanceRecord.safeParse(item);
            if (parsed.success) records.push(parsed.data);
          }
          membership.applyList(records);
        };
        measureCpu(10, read);
        return measureCpu(20, read) / 20;
      },
    ),
  ];
}

/** Measures the lines of relays, of their followers and of the instance list. */
export async function measureRelay(): Promise<CapacitySlope[]> {
  return [
    await measureHeartbeats(),
    await measureFeedTime(),
    await measureChurn(),
    ...(await measureDocuments()),
    ...(await measureMembership()),
  ];
}
