import { Server, ServerCredentials } from '@grpc/grpc-js';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  InstanceRecord,
  SeededRandom,
  ServiceDocument,
  encodeStoredDocument,
  getServiceKey,
  type Clock,
} from '@limpetbay/core';
import { EtcdStore, InstanceListClient } from '@limpetbay/platform';
import { ConfigService, RelayClient } from '@limpetbay/rpc';
import { RealClock } from '@limpetbay/runtime';
import { InstanceListServer, StoreServer } from '@limpetbay/standins';

interface ConfigProcess {
  readonly record: InstanceRecord;
  readonly config: ConfigService;
  stop(): void;
}

const SEED = 11;

/** Retries a check until it passes; the timeout of 10 s allows for real I/O on a busy machine. */
function waitForCheck(check: () => void | Promise<void>): Promise<void> {
  return vi.waitFor(check, 10_000);
}

function createDocument(queue: number): string {
  const document = ServiceDocument.parse({
    service: { name: 'canerota', kind: 'model' },
    zones: { in: ['a', 'b'] },
    targets: { include: ['canerota-*'] },
    ramp: {},
    limits: { queue },
    keys: {},
  });
  return encodeStoredDocument(document, `operation-${queue}`);
}

describe('ConfigService over real connections', () => {
  const clock: Clock = new RealClock();
  const log = { report: () => {}, warn: () => {} };
  let store: StoreServer;
  let list: InstanceListServer;
  let processes: ConfigProcess[];

  async function startProcess(id: string, zone: string): Promise<ConfigProcess> {
    const server = new Server();
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, boundPort) =>
        error ? reject(error) : resolve(boundPort),
      );
    });
    const address = `127.0.0.1:${port}`;
    const record = InstanceRecord.parse({ id, role: 'entry', zone, address, state: 'live' });
    const client = new EtcdStore({ address: store.address, clock });
    const instanceList = new InstanceListClient({ url: list.url });
    const config = new ConfigService({
      store: client,
      instanceList,
      self: record,
      clock,
      random: new SeededRandom(SEED + processes.length),
      server,
      log,
    });
    const stop = (): void => {
      config.stop();
      client.close();
      server.forceShutdown();
      void instanceList.close();
    };
    const started = { record, config, stop };
    processes.push(started);
    return started;
  }

  const getQueue = ({ config }: ConfigProcess): number | undefined =>
    config.getDocument('canerota')?.document?.limits.queue;

  beforeEach(async () => {
    store = new StoreServer({ clock });
    list = new InstanceListServer({ clock });
    await store.start();
    await list.start();
    processes = [];
    for (const zone of ['a', 'b']) {
      for (let index = 0; index < 5; index += 1) await startProcess(`${zone}${index}`, zone);
    }
    list.setRecords(processes.map(({ record }) => record));
    store.put(getServiceKey('canerota'), createDocument(1));
    for (const { config } of processes) config.start();
    await waitForCheck(() => {
      expect(processes.map(getQueue)).toEqual(processes.map(() => 1));
      for (const { config } of processes) expect(config.getFreshness().state).toBe('fresh');
    });
  });

  afterEach(async () => {
    for (const { stop } of processes) stop();
    await store.stop();
    await list.stop();
  });

  // Guards against every process watching the store, and against deletions that relays do not pass on.
  it('delivers changes and deletions to all processes through three relays per zone', async () => {
    // Processes are fresh through the first relays before the last ones have opened their watches.
    await waitForCheck(() => expect(store.countWatches()).toBe(6));
    store.put(getServiceKey('canerota'), createDocument(2));
    await waitForCheck(() => expect(processes.map(getQueue)).toEqual(processes.map(() => 2)));
    store.put(getServiceKey('canerota'), null);
    await waitForCheck(() => {
      for (const { config } of processes) {
        expect(config.getDocument('canerota')).toMatchObject({ document: null });
      }
    });
    expect(store.countWatches()).toBe(6);
    const report = await new RelayClient().fetchReport(processes[0]?.record.address ?? '', 2000);
    expect(report.unwrap().revisions.get('canerota')).toMatchObject({ deleted: true });
  });

  // Guards against a process that restarts during a store outage and gets no configuration, and
  // against an outage that is mistaken for a partition between zones.
  it('configures a process restarted during a store outage and keeps contact between zones', async () => {
    store.setOutage(true);
    await waitForCheck(() => {
      for (const { config } of processes) expect(config.getFreshness().state).toBe('stale');
    });
    const restarted = await startProcess('a5', 'a');
    list.setRecords(processes.map(({ record }) => record));
    restarted.config.start();
    await waitForCheck(() => expect(getQueue(restarted)).toBe(1));
    expect(restarted.config.getFreshness()).toMatchObject({ ready: true, zoneCount: 2 });
    for (const { config } of processes) {
      const { lastOutsideContactAt } = config.getFreshness();
      expect(clock.getNow() - (lastOutsideContactAt ?? -Infinity)).toBeLessThan(3000);
    }
    store.setOutage(false);
    store.put(getServiceKey('canerota'), createDocument(3));
    await waitForCheck(() => expect(processes.map(getQueue)).toEqual(processes.map(() => 3)));
  });

  // Guards against an instance that still receives work while it is leaving, because the instance
  // list lags behind.
  it('propagates a leaving announcement before the instance list changes', async () => {
    const [leaving] = processes;
    leaving?.config.setLeaving();
    await waitForCheck(() => {
      for (const { config } of processes) {
        expect(config.getMembership().isLeaving(leaving?.record.id ?? '')).toBe(true);
      }
    });
    expect(list.getRecords().every(({ state }) => state === 'live')).toBe(true);
  });
});
