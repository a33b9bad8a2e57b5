import { AgentSettings, startAgent } from '@limpetbay/agent';
import { EntrySettings, startEntry, type RunningEntry } from '@limpetbay/entry';
import {
  encodeStoredDocument,
  getServiceKey,
  type InstanceRecord,
  type ServiceDocument,
} from '@limpetbay/core';
import { EtcdStore } from '@limpetbay/platform';
import { MetricRegistry, RealClock, SystemRandom, type RunningProcess } from '@limpetbay/runtime';
import { EngineGroup, InstanceListServer, PlainService, StoreServer } from '@limpetbay/standins';
import { createDocuments } from './createDocuments.js';
import type { DevFleetOptions } from './DevFleetOptions.js';

const HOST = '127.0.0.1';
const READY_TIMEOUT_MS = 20_000;

/**
 * Runs a complete deployment on loopback in one process: entries, agents, and stand-ins for the
 * store, the instance list, the engines and a plain service.
 */
export class DevFleet {
  readonly #options: DevFleetOptions;

  readonly #clock = new RealClock();

  readonly #random = new SystemRandom();

  readonly #records = new Map<string, InstanceRecord>();

  #startProxy: (address: string) => Promise<string> = (address) => Promise.resolve(address);

  readonly store: StoreServer;

  readonly instances: InstanceListServer;

  readonly engines: EngineGroup;

  readonly services: readonly PlainService[];

  /** Number of runs of each booking id, summed over all targets of the plain service. */
  readonly runsByBooking = new Map<string, number>();

  readonly entries = new Map<string, RunningEntry>();

  readonly agents = new Map<string, RunningProcess>();

  readonly documents: ReadonlyMap<string, ServiceDocument>;

  constructor(options: DevFleetOptions) {
    this.#options = options;
    this.store = new StoreServer({ clock: this.#clock });
    this.instances = new InstanceListServer({ clock: this.#clock });
    this.engines = new EngineGroup({
      ranks: options.ranks,
      stepMs: options.stepMs,
      needsGrants: options.experts > 0,
    });
    const services: PlainService[] = [];
    for (let index = 0; index < options.plainTargets; index += 1) {
      services.push(new PlainService(this.runsByBooking));
    }
    this.services = services;
    this.documents = createDocuments(options);
  }

  /**
   * Puts a proxy before each agent and target that is started after this call.
   *
   * @param startProxy starts a proxy to an address and returns the proxy's own address
   */
  setProxyStarter(startProxy: (address: string) => Promise<string>): void {
    this.#startProxy = startProxy;
  }

  /**
   * Starts the stand-ins, accepts the documents, and starts all agents and entries.
   *
   * @param signal aborts the wait for an address that is in use
   * @throws Error if not all entries serve both services within 20 s
   */
  async start(signal?: AbortSignal): Promise<void> {
    await this.store.start();
    await this.instances.start();
    await this.engines.start();
    for (const service of this.services) await service.start();
    for (const document of this.documents.values()) await this.accept(document);
    const { zones, entriesPerZone } = this.#options;
    for (const [index, rank] of this.engines.ranks.entries()) {
      await this.startAgent(`canerota-${index}`, 'canerota', rank.origin);
    }
    for (const [index, service] of this.services.entries()) {
      await this.startAgent(`bookings-${index}`, 'bookings', service.origin);
    }
    for (const zone of zones) {
      for (let index = 0; index < entriesPerZone; index += 1) {
        const isFirst = this.entries.size === 0;
        const port = isFirst ? this.#options.port : 0;
        await this.startEntry(`entry-${zone}-${index}`, zone, port, signal);
      }
    }
    await this.#waitUntilReady();
  }

  /**
   * Writes a document to the store, as `limpetbay accept` does.
   *
   * @throws Error if another writer changed the document in the meantime
   */
  async accept(document: ServiceDocument): Promise<void> {
    const store = new EtcdStore({ address: this.store.address, clock: this.#clock });
    const key = getServiceKey(document.service.name);
    const existing = await store.read(key);
    const revision = existing.unwrap().record?.revision ?? 0;
    const value = encodeStoredDocument(document, `dev-${revision}`);
    const result = await store.commit({
      conditions: [{ key, revision }],
      writes: [{ key, value }],
    });
    store.close();
    if (!result.unwrap().committed) throw new Error(`${key} was changed by another writer`);
  }

  /** Starts the agent of a target and adds it to the instance list. */
  async startAgent(target: string, service: string, origin: string): Promise<void> {
    const zone = this.#chooseZone(target);
    const settings = AgentSettings.parse({
      agent: {
        id: `agent-${target}`,
        zone,
        address: `${HOST}:0`,
        service,
        kind: service === 'canerota' ? 'model' : 'plain',
        target,
        target_origin: `http://${await this.#startProxy(new URL(origin).host)}`,
      },
      platform: this.#buildPlatformSettings(),
      log: { level: this.#options.logLevel },
      timing: { leave_ms: this.#options.leaveMs },
      experts: { experts: this.#options.experts, step_ms: this.#options.stepMs },
    });
    const agent = await startAgent(settings, this.#clock, this.#random);
    this.agents.set(target, agent);
    this.#addInstance({
      id: settings.agent.id,
      role: 'agent',
      zone: settings.agent.zone,
      address: await this.#startProxy(agent.address),
      target: settings.agent.target,
      state: 'live',
    });
  }

  /**
   * Starts an entry and adds it to the instance list.
   *
   * @param port caller port; 0 chooses a free port
   * @param signal aborts the wait for a port that is in use
   */
  async startEntry(id: string, zone: string, port = 0, signal?: AbortSignal): Promise<void> {
    const settings = EntrySettings.parse({
      entry: {
        id,
        zone,
        address: `${HOST}:0`,
        caller_host: HOST,
        caller_port: port,
        caller_url: `http://${HOST}:${port}`,
      },
      platform: this.#buildPlatformSettings(),
      log: { level: this.#options.logLevel },
      timing: { address_ttl_ms: this.#options.addressTtlMs },
    });
    const metrics = new MetricRegistry();
    const entry = await startEntry(settings, this.#clock, this.#random, metrics, signal);
    this.entries.set(id, entry);
    this.#addInstance({
      id: settings.entry.id,
      role: 'entry',
      zone: settings.entry.zone,
      address: entry.address,
      callerUrl: entry.url,
      state: 'live',
    });
  }

  /** Replaces the agent of a target: stops the old agent gracefully, then starts a new one. */
  async replaceAgent(target: string, service: string, origin: string): Promise<void> {
    await this.agents.get(target)?.stop();
    await this.startAgent(target, service, origin);
  }

  /** Replaces an entry: starts the new entry first, then stops the old one gracefully. */
  async replaceEntry(id: string, zone: string): Promise<void> {
    await this.startEntry(`${id}-next`, zone);
    await this.entries.get(id)?.stop();
    this.entries.delete(id);
    this.removeInstance(id);
  }

  /** Removes an instance from the list, as the platform does after the instance has ended. */
  removeInstance(id: string): void {
    this.#records.delete(id);
    this.instances.setRecords([...this.#records.values()]);
  }

  /** Stops all agents, entries and stand-ins without waiting for requests in progress. */
  async stop(): Promise<void> {
    for (const entry of this.entries.values()) entry.kill();
    for (const agent of this.agents.values()) agent.kill();
    this.engines.stop();
    for (const service of this.services) service.kill();
    await this.instances.stop();
    await this.store.stop();
  }

  #chooseZone(target: string): string {
    const { zones } = this.#options;
    const index = Number(target.slice(target.lastIndexOf('-') + 1));
    return zones[index % zones.length]!;
  }

  #buildPlatformSettings(): { store: string; instances: string } {
    return { store: this.store.address, instances: this.instances.url };
  }

  #addInstance(record: InstanceRecord): void {
    this.#records.set(record.id, record);
    this.instances.setRecords([...this.#records.values()]);
  }

  async #waitUntilReady(): Promise<void> {
    const headers = { 'content-type': 'application/json', 'limpetbay-workspace': 'start' };
    const probes = [
      { path: '/v1/chat/completions', method: 'POST', body: this.#buildChatBody() },
      { path: '/services/bookings/', method: 'GET', body: null },
    ];
    const endMs = this.#clock.getNow() + READY_TIMEOUT_MS;
    for (const { url } of this.entries.values()) {
      for (const { path, method, body } of probes) {
        for (;;) {
          const reply = await fetch(`${url}${path}`, { method, headers, body });
          await reply.arrayBuffer();
          if (reply.status === 200) break;
          if (this.#clock.getNow() >= endMs) throw new Error(`${url}${path}: HTTP ${reply.status}`);
        }
      }
    }
  }

  #buildChatBody(): string {
    const messages = [{ role: 'user', content: 'ready?' }];
    return JSON.stringify({ model: 'canerota', messages, max_tokens: 1 });
  }
}
