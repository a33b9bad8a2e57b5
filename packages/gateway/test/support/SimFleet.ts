import {
  SeededRandom,
  type Clock,
  type DirectConfig,
  type DirectRoute,
  type DirectTarget,
  type RequestHead,
} from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import { MemoryStore } from '@limpetbay/standins';
import type { EntryNetwork } from '../../src/index.js';
import { SimEntry } from './SimEntry.js';
import { buildSimAddress } from './buildSimAddress.js';
import { simLayout } from './simLayout.js';
import { SimTarget } from './SimTarget.js';

interface FleetShape {
  readonly entries: number;
  readonly targets: number;
  readonly seed: number;
  /** Whether entries pace fresh and recovered targets; no if absent. */
  readonly pacesTargets?: boolean;
}

type Arrival = Parameters<ConstructorParameters<typeof SimTarget>[0]['onArrival']>[0];

interface SimRequest {
  readonly id: string;
  readonly parts: readonly string[];
  readonly body: string;
  readonly sentMs: number;
  readonly outcome: Awaited<ReturnType<SimEntry['call']>>;
}

interface TargetEnd {
  readonly atMs: number;
  readonly target: string;
  /** The prompt part or body that caused it; null where there was another cause. */
  readonly cause: string | null;
}

const STORE_TICK_MS = 4;

const STORE_LATENCY_MS: [number, number] = [4, 8];

/** A target that ended starts again after this time, under a new id. */
const RESTART_MS = 3000;

/** The registration of a target that ended remains for this time. */
const REGISTRATION_MS = 3600;

const PEER_PORT = 7340;

const PEER_DELAY_MS = 1;

/** Share of the datagrams between entries that are lost. */
const PEER_LOSS = 0.02;

const ROUTE: DirectRoute = {
  name: 'r',
  host: 'h',
  prefix: '/a/',
  kind: 'stream',
  maxAttempts: 2,
  timeoutMs: 8000,
  objectiveMs: 500,
  gapMs: 120,
  patienceMs: 2000,
  priority: 1,
  isPublic: true,
  isResumable: true,
  services: [{ service: 's', weight: 1 }],
};

const SINGLE_ROUTE: DirectRoute = {
  ...ROUTE,
  name: 'single',
  prefix: '/b/',
  kind: 'safe',
  timeoutMs: 1500,
  objectiveMs: 120,
  gapMs: null,
  isResumable: false,
};

const UNSAFE_ROUTE: DirectRoute = {
  ...SINGLE_ROUTE,
  name: 'unsafe',
  prefix: '/c/',
  kind: 'unsafe',
  maxAttempts: 1,
};

const ROUTES = { stream: ROUTE, single: SINGLE_ROUTE, unsafe: UNSAFE_ROUTE } as const;

const CONFIG: DirectConfig = {
  version: 1,
  routes: Object.values(ROUTES),
  services: [{ name: 's', maxConnections: 300, coldPerSecond: 0, engine: null }],
  workspaces: null,
  idleTimeoutMs: 10_000,
  headTimeoutMs: 5000,
  maxBodyBytes: 100_000,
};

/**
 * Entries that share a store and the targets of one service, without a network and under one clock,
 * which must be the time of the timers. Targets end when they begin an answer on a crashing part or
 * body.
 */
export class SimFleet {
  readonly store: MemoryStore;

  readonly random: SeededRandom;

  readonly crashingParts = new Set<string>();

  readonly crashingBodies = new Set<string>();

  /** Events of its answer that a target has sent when it ends on a crashing part or body. */
  eventsBeforeEnd = 0;

  readonly entries: SimEntry[] = [];

  readonly arrivals: Arrival[] = [];

  readonly ends: TargetEnd[] = [];

  readonly requests: SimRequest[] = [];

  /** How long a check takes whether a target still listens, milliseconds. */
  checkDelayMs = 2 * PEER_DELAY_MS;

  /** Datagrams between entries. */
  peerMessages = 0;

  /** Kinds of the datagrams between entries. */
  readonly peerKinds = new Set<string>();

  readonly #clock: Clock;

  readonly #shape: FleetShape;

  readonly #targets = new Map<string, SimTarget>();

  /** The running entry at each peer address. */
  readonly #receivers = new Map<string, SimEntry>();

  readonly #cutEntries = new Set<string>();

  #lastId = 0;

  #isStopped = false;

  #hasTraffic = true;

  constructor(clock: Clock, shape: FleetShape) {
    this.#clock = clock;
    this.#shape = shape;
    this.random = new SeededRandom(shape.seed);
    this.store = new MemoryStore(clock, this.random);
  }

  async start(): Promise<void> {
    this.#tickStore();
    await this.#put(simLayout.configKey, CONFIG);
    for (let index = 0; index < this.#shape.targets; index += 1) await this.#startTarget(index);
    for (let index = 0; index < this.#shape.entries; index += 1) this.startEntry(index);
    this.store.setFaults({ latencyMs: STORE_LATENCY_MS });
  }

  stop(): void {
    this.#isStopped = true;
    this.stopTraffic();
    for (const entry of this.entries) entry.kill();
  }

  /**
   * Calls a function at once, and again and again until the traffic stops.
   *
   * @param intervalMs mean time between two calls, milliseconds
   */
  repeat(intervalMs: number, send: () => void): void {
    if (!this.#hasTraffic) return;
    send();
    setTimeout(() => this.repeat(intervalMs, send), intervalMs * (0.5 + this.random.next()));
  }

  stopTraffic(): void {
    this.#hasTraffic = false;
  }

  /** Starts the process of an entry, also again after `kill`. It knows nothing of its earlier run. */
  startEntry(index: number): void {
    const name = `entry-${index}`;
    const entry = new SimEntry({
      clock: this.#clock,
      random: this.random,
      store: this.store,
      name,
      peerAddress: buildSimAddress(name, PEER_PORT),
      network: this.#createNetwork(name),
      limits: { pacesTargets: this.#shape.pacesTargets === true },
    });
    this.entries[index] = entry;
    this.#receivers.set(entry.peerAddress, entry);
  }

  /** Cuts an entry off from the store and from the other entries, or ends the cut. */
  setCut(index: number, isCut: boolean): void {
    const entry = this.entries[index] as SimEntry;
    entry.link.setCut(isCut);
    if (isCut) this.#cutEntries.add(entry.peerAddress);
    else this.#cutEntries.delete(entry.peerAddress);
  }

  /** Starts a target beside those that the fleet has. */
  addTarget(index: number): void {
    void this.#startTarget(index);
  }

  /** Removes the registration of a target, which goes on serving. */
  async unregisterTarget(index: number): Promise<void> {
    await this.#remove(`${simLayout.targetPrefix}target-${index}.0`);
  }

  /** Writes the registration of a target that has never ended again. */
  async registerTarget(index: number): Promise<void> {
    await this.#register(index, 0);
  }

  /** Ends running targets for a reason that no request causes. */
  endTargets(count: number): void {
    const running = [...this.#targets.values()].filter((target) => !target.hasEnded());
    for (const target of running.slice(0, count)) target.end();
  }

  /** Stores another version of the configuration. */
  async putConfig(version: number): Promise<void> {
    await this.#put(simLayout.configKey, { ...CONFIG, version });
  }

  /** Sets the limit that the first `count` targets name. @param perSecond null to lift it */
  setLimit(count: number, perSecond: number | null): void {
    for (const target of [...this.#targets.values()].slice(0, count)) target.limit = perSecond;
  }

  /**
   * Sends a request to a random entry that is ready.
   *
   * @param parts shared parts of its prompt
   * @param callerTimeoutMs how long the caller waits; Infinity for the time limit of the route
   * @param same what requests that are repeated have in common; else the body is the request's own
   */
  async send(
    parts: readonly string[],
    kind: keyof typeof ROUTES = 'stream',
    callerTimeoutMs = Infinity,
    same: {
      readonly body?: string;
      readonly apiKey?: string;
      /** Parts of its prompt that no other request has. */
      readonly ownParts?: readonly string[];
    } = {},
  ): Promise<void> {
    const route = ROUTES[kind];
    const { ownParts = [] } = same;
    const { prefix } = route;
    const timeoutMs = Math.min(route.timeoutMs, callerTimeoutMs);
    const ready = this.entries.filter((entry) => entry.isReady());
    const entry = ready[Math.floor(this.random.next() * ready.length)];
    if (entry === undefined) return;
    this.#lastId += 1;
    const body = same.body ?? `body ${this.#lastId}`;
    const head: RequestHead = {
      id: `request-${this.#lastId}`,
      method: 'POST',
      url: `${prefix}x`,
      path: `${prefix}x`,
      host: ROUTE.host,
      apiKey: same.apiKey ?? 'key',
      callerAddress: null,
      timeoutMs,
      lastEventId: null,
      promptTokens: 700,
      answerTokens: 100,
      lengthHint: null,
      prompt: [...parts, ...ownParts].join(','),
      promptParts: parts,
      forwarded: [],
    };
    const sentMs = this.#clock.getNow();
    const outcome = await entry.call(head, Buffer.from(body));
    this.requests.push({ id: head.id, parts, body, sentMs, outcome });
  }

  #createNetwork(entry: string): EntryNetwork {
    const peerAddress = buildSimAddress(entry, PEER_PORT);
    return {
      openPool: (address) => ({
        send: (call, listener) => {
          const target = this.#targets.get(address) as SimTarget;
          return target.send(entry, call, listener);
        },
        closeIdle: () => {},
        count: () => 1,
        close: () => {},
      }),
      checkListener: async (address) => {
        await new Promise((resolve) => {
          setTimeout(resolve, this.checkDelayMs);
        });
        return this.#targets.get(address)?.hasEnded() === true ? 'refused' : 'listening';
      },
      sendToPeers: (message, addresses) => {
        for (const address of addresses) this.#sendToPeer(message, peerAddress, address);
      },
    };
  }

  #sendToPeer(message: PeerMessage, from: string, to: string): void {
    this.peerMessages += 1;
    this.peerKinds.add(message.kind);
    if (this.random.next() < PEER_LOSS) return;
    setTimeout(() => {
      if (this.#cutEntries.has(from) || this.#cutEntries.has(to)) return;
      this.#receivers.get(to)?.handlePeerMessage(message, from);
    }, PEER_DELAY_MS);
  }

  async #startTarget(index: number, run = 0): Promise<void> {
    const id = `target-${index}.${run}`;
    const address = `10.0.0.${index}:80`;
    const target = new SimTarget({
      clock: this.#clock,
      id,
      address,
      crashingParts: this.crashingParts,
      crashingBodies: this.crashingBodies,
      getEventsBeforeEnd: () => this.eventsBeforeEnd,
      onArrival: (arrival) => this.arrivals.push(arrival),
      onEnd: (_target, cause) => {
        this.ends.push({ atMs: this.#clock.getNow(), target: id, cause });
        setTimeout(() => void this.#startTarget(index, run + 1), RESTART_MS);
        setTimeout(() => void this.#remove(`${simLayout.targetPrefix}${id}`), REGISTRATION_MS);
      },
    });
    this.#targets.set(address, target);
    await this.#register(index, run);
  }

  async #register(index: number, run: number): Promise<void> {
    const id = `target-${index}.${run}`;
    const record: DirectTarget = {
      id,
      service: 's',
      address: `10.0.0.${index}:80`,
      zone: 'a',
      capacity: 12,
      isDraining: false,
      coldLeftMs: 0,
      bornMs: run + 1,
    };
    await this.#put(`${simLayout.targetPrefix}${id}`, record);
  }

  async #put(key: string, value: object): Promise<void> {
    await this.store.commit({ conditions: [], writes: [{ key, value: JSON.stringify(value) }] });
  }

  async #remove(key: string): Promise<void> {
    await this.store.commit({ conditions: [], writes: [{ key, value: null }] });
  }

  #tickStore(): void {
    if (this.#isStopped) return;
    this.store.tick();
    setTimeout(() => this.#tickStore(), STORE_TICK_MS);
  }
}
