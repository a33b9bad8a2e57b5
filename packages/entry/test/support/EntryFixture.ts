import { ConnectionPool, Entry } from '@limpetbay/entry';
import {
  InstanceId,
  InstanceRecord,
  RetryBudget,
  Revision,
  Router,
  ServiceDocument,
  ServiceName,
  WorkspaceLimiter,
  Zone,
  type ConfigSource,
  type VersionedDocument,
} from '@limpetbay/core';
import {
  createDispatchService,
  dispatchService,
  openServer,
  type DispatchHandler,
  type RunningServer,
} from '@limpetbay/rpc';
import { MetricRegistry, RealClock, SystemRandom } from '@limpetbay/runtime';

const NULL_LOG = { report: () => {}, warn: () => {}, alert: () => {} };

const versioned: VersionedDocument = {
  name: ServiceName.parse('canerota'),
  revision: Revision.parse(1),
  operationId: 'op',
  document: ServiceDocument.parse({
    service: { name: 'canerota', kind: 'model' },
    zones: { in: ['a'] },
    targets: { include: ['canerota-*'] },
    ramp: {},
    limits: {},
    keys: {},
  }),
};

/** Runs an entry with one target, whose agent is a dispatch handler of the test. */
export class EntryFixture {
  readonly clock = new RealClock();

  readonly entry: Entry;

  readonly #server: RunningServer;

  private constructor(server: RunningServer) {
    const { clock } = this;
    const random = new SystemRandom();
    const [id, zone] = [InstanceId.parse('entry-a'), Zone.parse('a')];
    this.#server = server;
    this.entry = new Entry({
      id,
      zone,
      callerUrl: 'http://127.0.0.1:1',
      clock,
      random,
      config: EntryFixture.#createConfig(server.address),
      router: new Router({ entry: id, zone, clock, random }),
      budget: new RetryBudget(),
      limiter: new WorkspaceLimiter({ clock, random }),
      connectionPool: new ConnectionPool(),
      log: NULL_LOG,
      metrics: new MetricRegistry(),
      timing: { tickMs: 20, progressTimeoutMs: 3000, addressTtlMs: 1000 },
    });
  }

  static async start(agent: DispatchHandler): Promise<EntryFixture> {
    const server = await openServer('127.0.0.1:0');
    server.server.addService(dispatchService, createDispatchService(agent));
    return new EntryFixture(server);
  }

  stop(): void {
    this.entry.stop();
    this.#server.close();
  }

  static #createConfig(address: string): ConfigSource {
    const agent = { id: 'agent-canerota-0', role: 'agent', zone: 'a', target: 'canerota-0' };
    const instances = [InstanceRecord.parse({ ...agent, address, state: 'live' })];
    return {
      getDocument: () => versioned,
      listDocuments: () => [versioned],
      listInstances: () => instances,
      getConnectivity: () => ({
        storeConfirmedMs: Infinity,
        outsideZoneHeardMs: Infinity,
        zoneCount: 1,
      }),
      subscribe: () => () => undefined,
    };
  }
}
