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
import { PeerSocket, decodeLoads } from '@limpetbay/rpc';
import type { Log } from '@limpetbay/runtime';
import { DirectPool } from '@limpetbay/targets';
import { EntryLease } from '../feed/EntryLease.js';
import { GatewayView } from '../feed/GatewayView.js';
import { StoreMirror } from '../feed/StoreMirror.js';
import type { RequestContext } from '../request/RequestContext.js';
import { RequestRun } from '../request/RequestRun.js';
import type { GatewayOptions } from './GatewayOptions.js';

/** Interval of periodic tasks: expiry, subscriptions, registration and idle connections. */
const TICK_INTERVAL_MS = 250;

/** Interval at which queued requests are tried again or expired. */
const QUEUE_INTERVAL_MS = 50;

/** Renewal interval of subscriptions to load reports; they expire after three intervals. */
const SUBSCRIBE_INTERVAL_MS = 1000;

/** Connections to targets are closed after this idle time. */
const MAX_POOL_IDLE_MS = 4000;

/** Largest request body before the first configuration. */
const DEFAULT_MAX_BODY_BYTES = 4_194_304;

/** Share of the retry limits that the budgets use; the rest covers budgets refilled by restarts. */
const RETRY_BUDGET_SHARE = 0.5;

/** Interval at which a stopping entry checks whether it may continue to stop. */
const STOP_POLL_INTERVAL_MS = 100;

/** After this time without a new request, a stopping entry assumes that no caller uses it. */
const NO_REQUESTS_MS = 1500;

/** The server closes at the latest this long before the platform kills the process. */
const CLOSE_MARGIN_MS = 2000;

/** Open requests are awaited until this long before the platform kills the process. */
const DRAIN_MARGIN_MS = 400;

/** An entry that sends the requests of its callers directly to targets. */
export class Gateway implements DirectHandler {
  readonly #options: GatewayOptions;

  readonly #log: Log;

  readonly #registry: TargetRegistry;

  readonly #entries: EntryDirectory;

  readonly #view: GatewayView;

  readonly #requestContext: RequestContext;

  readonly #mirror: StoreMirror;

  readonly #lease: EntryLease;

  readonly #server: DirectServer;

  readonly #socket: PeerSocket;

  readonly #budgets = new Map<string, RetryBudget>();

  readonly #pools = new Map<string, DirectPool>();

  #cancelTick: (() => void) | null = null;

  #cancelQueueTick: (() => void) | null = null;

  #isRegistered = false;

  #isStopping = false;

  #lastRequestMs = 0;

  /** When the last request must be answered, monotonic milliseconds; null until `stop`. */
  #drainDeadlineMs: number | null = null;

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
      coldLimiter: new ColdLimiter({
        clock,
        ownName: options.self.name,
        entries: this.#entries,
      }),
      countEntries: () => this.#entries.countSharingEntries(),
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
    this.#requestContext = {
      clock,
      random,
      timers,
      codec,
      metrics,
      registry: this.#registry,
      picker,
      queue: new AdmissionQueue(clock),
      log: createLog('request'),
      countEntries: () => this.#entries.countSharingEntries(),
      getTable: () => this.#view.getTable(),
      getDrainDeadlineMs: () => this.#drainDeadlineMs,
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
        picker.handleReport({ ...message.report, ranks: decodeLoads(message.ranks) });
        this.#requestContext.queue.advance();
      },
      onError: (cause) => this.#log.warn('datagram failed', { cause }),
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

  /** Returns whether this entry can serve callers. */
  isReady(): boolean {
    return this.#view.isComplete() && !this.#isStopping;
  }

  /** Lists the addresses of entries for callers; includes this entry if it is ready. */
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
    const run = new RequestRun(this.#requestContext, head, body, answer);
    run.start();
    return () => run.cancel();
  }

  /**
   * Stops gracefully: withdraws the registration at once, but serves open and new requests until
   * no more arrive or the grace period ends.
   */
  async stop(): Promise<void> {
    const startMs = this.#options.clock.getNow();
    this.#isStopping = true;
    this.#lastRequestMs = startMs;
    this.#server.drain();
    this.#log.report('stopping', { requests: this.#server.countRequests() });
    void this.#lease.stop();
    const forcedEndMs = startMs + this.#options.limits.graceMs;
    this.#drainDeadlineMs = forcedEndMs - DRAIN_MARGIN_MS;
    const addressExpiryMs = startMs + this.#options.limits.addressTtlMs;
    await this.#waitUntil(forcedEndMs - CLOSE_MARGIN_MS, (nowMs) => {
      const hasNoNewRequests = nowMs - this.#lastRequestMs > NO_REQUESTS_MS;
      return this.#server.countRequests() === 0 && hasNoNewRequests && nowMs > addressExpiryMs;
    });
    this.#server.close();
    await this.#waitUntil(this.#drainDeadlineMs, () => this.#server.countRequests() === 0);
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
        timers.schedule(STOP_POLL_INTERVAL_MS, resolve);
      });
    }
  }

  /** Load reports arrive ten times a second; in between, waits expire and slots become free. */
  #advanceQueue(): void {
    if (this.#requestContext.queue.count() > 0) this.#requestContext.queue.advance();
    this.#cancelQueueTick = this.#options.timers.schedule(QUEUE_INTERVAL_MS, () =>
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
      pool.closeIdle(MAX_POOL_IDLE_MS);
      if (pool.count() === 0) this.#pools.delete(address);
    }
    this.#cancelTick = this.#options.timers.schedule(TICK_INTERVAL_MS, () => this.#tick());
  }

  /** Subscribes to the load reports of the agents of model ranks. */
  #subscribe(nowMs: number): void {
    const isDue = nowMs - this.#lastSubscribeMs >= SUBSCRIBE_INTERVAL_MS;
    if (isDue) this.#lastSubscribeMs = nowMs;
    const agents = new Set<string>();
    const { port } = splitAddress(this.#options.self.peerAddress);
    for (const target of this.#registry.listAll()) {
      const engine = this.#view.getTable()?.findService(target.service)?.engine ?? null;
      if (engine === null) continue;
      // An agent that started after the last renewal has no subscription of this entry.
      if (!isDue && !this.#requestContext.picker.isMissingReport(target)) continue;
      agents.add(`${splitAddress(target.address).host}:${port}`);
    }
    this.#socket.send({ kind: 'subscribe' }, agents);
  }

  #getBudget(service: string): RetryBudget {
    let budget = this.#budgets.get(service);
    if (budget === undefined) {
      const { retryRatio, retryBurst } = this.#options.limits;
      const share = (retryBurst * RETRY_BUDGET_SHARE) / this.#entries.countSharingEntries();
      budget = new RetryBudget(retryRatio * RETRY_BUDGET_SHARE, Math.max(1, share));
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
