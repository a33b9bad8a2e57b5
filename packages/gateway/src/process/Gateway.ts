import { DirectServer, type DirectAnswer, type DirectHandler } from '@limpetbay/callers';
import {
  AdmissionQueue,
  ColdLimiter,
  EntryDirectory,
  RetryBudget,
  TargetPicker,
  TargetRegistry,
  splitAddress,
  type RequestHead,
} from '@limpetbay/core';
import { PeerSocket } from '@limpetbay/rpc';
import type { Log } from '@limpetbay/runtime';
import { DirectPool } from '@limpetbay/targets';
import { EntryLease } from '../feed/EntryLease.js';
import { GatewayView } from '../feed/GatewayView.js';
import { StoreMirror } from '../feed/StoreMirror.js';
import type { GatewayParts } from '../request/GatewayParts.js';
import { RequestRun } from '../request/RequestRun.js';
import type { GatewayOptions } from './GatewayOptions.js';

/** Interval of housekeeping, milliseconds. */
const TICK_MS = 250;

/** Interval at which waiting requests are looked at, milliseconds. */
const QUEUE_TICK_MS = 50;

/** Subscriptions to loads last three times as long, milliseconds. */
const SUBSCRIBE_INTERVAL_MS = 1000;

/** Idle connections to targets are closed after this time, milliseconds. */
const POOL_IDLE_MS = 4000;

/** Body size that is accepted before a configuration states one, bytes. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Share of the summed retry allowance that the entries use; the rest covers restarts. */
const RETRY_SAFETY = 0.5;

/** Interval at which a stopping entry looks whether it is done, milliseconds. */
const WAIT_STEP_MS = 100;

/** An entry that stops without requests for this long has been left by its callers. */
const QUIET_MS = 1500;

/** New connections are closed out this long before the platform would end the process. */
const CLOSE_MARGIN_MS = 2000;

/** Requests under way are waited for until this long before the same moment, milliseconds. */
const END_MARGIN_MS = 400;

/** Serves callers by sending their requests to targets directly. */
export class Gateway implements DirectHandler {
  readonly #options: GatewayOptions;

  readonly #log: Log;

  readonly #registry: TargetRegistry;

  readonly #entries: EntryDirectory;

  readonly #view: GatewayView;

  readonly #parts: GatewayParts;

  readonly #mirror: StoreMirror;

  readonly #lease: EntryLease;

  readonly #server: DirectServer;

  readonly #socket: PeerSocket;

  readonly #budgets = new Map<string, RetryBudget>();

  readonly #pools = new Map<string, DirectPool>();

  #cancelTick: (() => void) | null = null;

  #cancelQueueTick: (() => void) | null = null;

  #isRegistered = false;

  #isLeaving = false;

  #lastRequestMs = 0;

  /** When the last request must be answered; null until the process is told to stop. */
  #endMs: number | null = null;

  #lastSubscribeMs = -Infinity;

  constructor(options: GatewayOptions) {
    this.#options = options;
    const { clock, random, timers, store, codec, layout, metrics, createLog } = options;
    this.#log = createLog('entry');
    this.#registry = new TargetRegistry(clock);
    this.#entries = new EntryDirectory(clock);
    const picker = new TargetPicker({
      clock,
      random,
      registry: this.#registry,
      cold: new ColdLimiter(clock),
      countEntries: () => this.#entries.countSharers(),
    });
    this.#view = new GatewayView({
      clock,
      log: createLog('view'),
      layout,
      registry: this.#registry,
      entries: this.#entries,
      picker,
      onConfig: ({ config }) =>
        this.#server.setTimeouts(config.idleTimeoutMs, config.headTimeoutMs),
    });
    this.#parts = {
      clock,
      random,
      timers,
      codec,
      metrics,
      registry: this.#registry,
      picker,
      queue: new AdmissionQueue(clock),
      log: createLog('request'),
      countEntries: () => this.#entries.countSharers(),
      getTable: () => this.#view.getTable(),
      getEndMs: () => this.#endMs,
      getBudget: (service) => this.#getBudget(service),
      getPool: (address) => this.#getPool(address),
    };
    const log = createLog('store');
    this.#mirror = new StoreMirror({
      store,
      prefix: '',
      listener: this.#view,
      timers,
      random,
      log,
    });
    this.#lease = new EntryLease({
      store,
      timers,
      log,
      key: `${layout.entryPrefix}${options.self.name}`,
      record: options.self,
    });
    this.#socket = new PeerSocket({
      ...splitAddress(options.self.peerAddress),
      onMessage: (message) => {
        if (message.kind !== 'load') return;
        picker.acceptReport(message.report);
        this.#parts.queue.advance();
      },
      onError: (cause) => this.#log.warn('datagram lost', { cause }),
    });
    this.#server = new DirectServer({
      ...splitAddress(options.self.callerAddress),
      handler: this,
      readHead: (message) => codec.readRequest(message),
      getMaxBodyBytes: () => this.#view.getTable()?.config.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES,
    });
  }

  async start(): Promise<void> {
    await this.#server.start();
    await this.#socket.start();
    this.#mirror.start();
    this.#tick();
    this.#advanceQueue();
    this.#log.report('started', { address: this.#options.self.callerAddress });
  }

  /** Whether callers may be sent here. */
  isReady(): boolean {
    return this.#view.isComplete() && !this.#isLeaving;
  }

  /** Lists the addresses that callers may use; always with this entry where it is ready. */
  listAddresses(): string[] {
    const addresses = new Set<string>();
    for (const entry of this.#entries.listEntries()) {
      if (entry.name !== this.#options.self.name) addresses.add(entry.callerAddress);
    }
    if (this.isReady()) addresses.add(this.#options.self.callerAddress);
    return [...addresses];
  }

  acceptRequest(head: RequestHead, body: Buffer, answer: DirectAnswer): () => void {
    this.#lastRequestMs = this.#options.clock.getNow();
    const run = new RequestRun(this.#parts, head, body, answer);
    run.start();
    return () => run.cancel();
  }

  /** Graceful stop: out of the directory at once, open and new requests are still served. */
  async stop(): Promise<void> {
    const startMs = this.#options.clock.getNow();
    this.#isLeaving = true;
    this.#lastRequestMs = startMs;
    this.#server.drain();
    this.#log.report('stopping', { requests: this.#server.countRequests() });
    void this.#lease.stop();
    const forcedMs = startMs + this.#options.limits.graceMs;
    this.#endMs = forcedMs - END_MARGIN_MS;
    const earliestMs = startMs + this.#options.limits.addressTtlMs;
    await this.#waitUntil(forcedMs - CLOSE_MARGIN_MS, (nowMs) => {
      const isQuiet = nowMs - this.#lastRequestMs > QUIET_MS;
      return this.#server.countRequests() === 0 && isQuiet && nowMs > earliestMs;
    });
    this.#server.close();
    await this.#waitUntil(this.#endMs, () => this.#server.countRequests() === 0);
    this.#mirror.stop();
    this.#socket.close();
    this.#cancelTick?.();
    this.#cancelQueueTick?.();
    for (const pool of this.#pools.values()) pool.close();
    this.#log.report('stopped', { requests: this.#server.countRequests() });
  }

  async #waitUntil(latestMs: number, isDone: (nowMs: number) => boolean): Promise<void> {
    const { clock, timers } = this.#options;
    while (clock.getNow() < latestMs && !isDone(clock.getNow())) {
      await new Promise<void>((resolve) => {
        timers.schedule(WAIT_STEP_MS, resolve);
      });
    }
  }

  /** Loads arrive ten times a second; in between, waits end and targets get room. */
  #advanceQueue(): void {
    if (this.#parts.queue.count() > 0) this.#parts.queue.advance();
    this.#cancelQueueTick = this.#options.timers.schedule(QUEUE_TICK_MS, () =>
      this.#advanceQueue(),
    );
  }

  #tick(): void {
    this.#registry.expire();
    this.#subscribe(this.#options.clock.getNow());
    if (!this.#isRegistered && this.isReady()) {
      this.#isRegistered = true;
      this.#lease.start();
    }
    for (const [address, pool] of this.#pools) {
      pool.closeIdle(POOL_IDLE_MS);
      if (pool.count() === 0) this.#pools.delete(address);
    }
    this.#cancelTick = this.#options.timers.schedule(TICK_MS, () => this.#tick());
  }

  /** Asks the agents beside model ranks for the loads of their groups. */
  #subscribe(nowMs: number): void {
    const isDue = nowMs - this.#lastSubscribeMs >= SUBSCRIBE_INTERVAL_MS;
    if (isDue) this.#lastSubscribeMs = nowMs;
    const agents = new Set<string>();
    const { port } = splitAddress(this.#options.self.peerAddress);
    for (const target of this.#registry.listAll()) {
      const engine = this.#view.getTable()?.findService(target.service)?.engine ?? null;
      if (engine === null) continue;
      // An agent that starts after this process has not heard of it yet.
      if (!isDue && !this.#parts.picker.isUnheard(target)) continue;
      agents.add(`${splitAddress(target.address).host}:${port}`);
    }
    this.#socket.send({ kind: 'subscribe' }, agents);
  }

  #getBudget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const { retryRatio, retryBurst } = this.#options.limits;
      const share = (retryBurst * RETRY_SAFETY) / this.#entries.countSharers();
      budget = new RetryBudget(retryRatio * RETRY_SAFETY, Math.max(1, share));
      this.#budgets.set(service, budget);
    }
    return budget;
  }

  #getPool(address: string): DirectPool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = new DirectPool(address, this.#options.clock);
      this.#pools.set(address, pool);
    }
    return pool;
  }
}
