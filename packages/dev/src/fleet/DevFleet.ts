import { AgentSettings, startAgent } from '@limpetbay/agent';
import { EntrySettings, startEntry, type RunningEntry } from '@limpetbay/entry';
import {
  encodeStoredDocument,
  getServiceKey,
  type InstanceRecord,
  type ServiceDocument,
} from '@limpetbay/core';
import { EtcdStore } from '@limpetbay/platform';
import { RealClock, SystemRandom, type RunningProcess } from '@limpetbay/runtime';
import { EngineGroup, InstanceListServer, PlainService, StoreServer } from '@limpetbay/standins';
import { createDocuments } from './createDocuments.js';
import type { DevFleetOptions } from './DevFleetOptions.js';
import { findFreePort } from './findFreePort.js';

const HOST = '127.0.0.1';
const READY_TIMEOUT_MS = 20_000;

/** A whole deployment with its stand-ins in one process, on loopback. */
export class DevFleet {
  readonly #options: DevFleetOptions;

  readonly #clock = new RealClock();

  readonly #random = new SystemRandom();

  readonly #records = new Map<string, InstanceRecord>();

  #openLink: (address: string) => Promise<string> = (address) => Promise.resolve(address);

  readonly store: StoreServer;

  readonly instances: InstanceListServer;

  readonly engines: EngineGroup;

  readonly services: readonly PlainService[];

  /** Runs by booking, over all instances of the plain service. */
  readonly bookings = new Map<string, number>();

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
    for (let index = 0; index < options.services; index += 1) {
      services.push(new PlainService(this.bookings));
    }
    this.services = services;
    this.documents = createDocuments(options);
  }

  /** Puts a link before each agent and target that is started from now on. */
  setLink(open: (address: string) => Promise<string>): void {
    this.#openLink = open;
  }

  /** Starts everything and accepts the documents. */
  async start(): Promise<void> {
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
        await this.startEntry(`entry-${zone}-${index}`, zone, isFirst ? this.#options.port : 0);
      }
    }
    await this.#waitUntilReady();
  }

  /** Writes a document straight into the store, as `limpetbay accept` does. */
  async accept(document: ServiceDocument): Promise<void> {
    const store = new EtcdStore({ address: this.store.address, clock: this.#clock });
    const key = getServiceKey(document.service.name);
    const read = await store.read(key);
    const revision = read.unwrap().record?.revision ?? 0;
    const value = encodeStoredDocument(document, `dev-${revision}`);
    const answer = await store.commit({
      conditions: [{ key, revision }],
      writes: [{ key, value }],
    });
    store.close();
    if (!answer.unwrap().committed) throw new Error(`${key} was changed by somebody else`);
  }

  /** Starts the agent of a target and lists it. */
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
        target_origin: `http://${await this.#openLink(new URL(origin).host)}`,
      },
      platform: this.#describePlatform(),
      log: { level: this.#options.logLevel },
      timing: { leave_ms: this.#options.leaveMs },
      experts: { experts: this.#options.experts, step_ms: this.#options.stepMs },
    });
    const agent = await startAgent(settings, this.#clock, this.#random);
    this.agents.set(target, agent);
    this.#list({
      id: settings.agent.id,
      role: 'agent',
      zone: settings.agent.zone,
      address: await this.#openLink(agent.address),
      target: settings.agent.target,
      state: 'live',
    });
  }

  /** Starts an entry and lists it. */
  async startEntry(id: string, zone: string, port = 0): Promise<void> {
    const callerPort = port === 0 ? await findFreePort(HOST) : port;
    const settings = EntrySettings.parse({
      entry: {
        id,
        zone,
        address: `${HOST}:0`,
        caller_host: HOST,
        caller_port: callerPort,
        caller_url: `http://${HOST}:${callerPort}`,
      },
      platform: this.#describePlatform(),
      log: { level: this.#options.logLevel },
      timing: { address_ttl_ms: this.#options.addressTtlMs },
    });
    const entry = await startEntry(settings, this.#clock, this.#random);
    this.entries.set(id, entry);
    this.#list({
      id: settings.entry.id,
      role: 'entry',
      zone: settings.entry.zone,
      address: entry.address,
      callerUrl: entry.url,
      state: 'live',
    });
  }

  /** Replaces the agent of a target: graceful shutdown, then a new one. */
  async replaceAgent(target: string, service: string, origin: string): Promise<void> {
    await this.agents.get(target)?.stop();
    await this.startAgent(target, service, origin);
  }

  /** Replaces an entry: starts the new one first, then stops the old one gracefully. */
  async replaceEntry(id: string, zone: string): Promise<void> {
    await this.startEntry(`${id}-next`, zone);
    await this.entries.get(id)?.stop();
    this.entries.delete(id);
    this.removeInstance(id);
  }

  /** Takes an instance off the list, as the platform does after it ended. */
  removeInstance(id: string): void {
    this.#records.delete(id);
    this.instances.setRecords([...this.#records.values()]);
  }

  /** Stops everything at once. */
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

  #describePlatform(): { store: string; instances: string } {
    return { store: this.store.address, instances: this.instances.url };
  }

  #list(record: InstanceRecord): void {
    this.#records.set(record.id, record);
    this.instances.setRecords([...this.#records.values()]);
  }

  async #waitUntilReady(): Promise<void> {
    const headers = { 'content-type': 'application/json', 'limpetbay-workspace': 'start' };
    const probes = [
      { path: '/v1/chat/completions', method: 'POST', body: this.#buildChat() },
      { path: '/services/bookings/', method: 'GET', body: null },
    ];
    const endMs = this.#clock.getNow() + READY_TIMEOUT_MS;
    for (const { url } of this.entries.values()) {
      for (const { path, method, body } of probes) {
        for (;;) {
          const answer = await fetch(`${url}${path}`, { method, headers, body });
          await answer.arrayBuffer();
          if (answer.status === 200) break;
          if (this.#clock.getNow() >= endMs) throw new Error(`${url}${path}: ${answer.status}`);
        }
      }
    }
  }

  #buildChat(): string {
    const messages = [{ role: 'user', content: 'ready?' }];
    return JSON.stringify({ model: 'canerota', messages, max_tokens: 1 });
  }
}
