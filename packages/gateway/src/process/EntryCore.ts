import type { DirectAnswer } from '@limpetbay/callers';
import {
  AdmissionQueue,
  ColdLimiter,
  EntryDirectory,
  RecentMaxima,
  TargetHolds,
  TargetPace,
  TargetPicker,
  TargetRegistry,
  buildRunName,
  explainRoute,
  splitAddress,
  type RequestHead,
  type RouteExplanation,
  type RouteQuery,
  type RouteTable,
} from '@limpetbay/core';
import { decodeLoads, type PeerMessage } from '@limpetbay/rpc';
import { IgnoredRecordLog, tryStep, type Log } from '@limpetbay/runtime';
import { EntryLease } from '../feed/EntryLease.js';
import { GatewayView } from '../feed/GatewayView.js';
import type { HeldTables } from '../feed/HeldTables.js';
import { ObservedStore } from '../feed/ObservedStore.js';
import { PositionProbe } from '../feed/PositionProbe.js';
import { StoreContact } from '../feed/StoreContact.js';
import { StoreMirror } from '../feed/StoreMirror.js';
import type { TargetPool } from '../ports/TargetPool.js';
import { SharedTargetLimits } from '../limits/SharedTargetLimits.js';
import { FairShares } from '../shares/FairShares.js';
import { SharedSuspectBreaker } from '../suspects/SharedSuspectBreaker.js';
import { ReportSubscriptions } from '../reports/ReportSubscriptions.js';
import { TargetEndCheck } from '../suspects/TargetEndCheck.js';
import { SharedRates } from '../rates/SharedRates.js';
import type { RequestContext } from '../request/RequestContext.js';
import { RequestRun } from '../request/RequestRun.js';
import { RetryBudgets } from '../request/RetryBudgets.js';
import { StopDeadline } from '../request/StopDeadline.js';
import { reportPaceChange } from '../pace/reportPaceChange.js';
import type { EntryCoreOptions } from './EntryCoreOptions.js';
import type { GatewayLimits } from './GatewayLimits.js';

/** Interval of periodic tasks: expiry, subscriptions, registration and idle connections. */
const TICK_INTERVAL_MS = 250;

/** Interval at which queued requests are tried again or expired. */
const QUEUE_INTERVAL_MS = 50;

/** Connections to targets are closed after this idle time. */
const MAX_POOL_IDLE_MS = 4000;

/** Share of the retry limits that the budgets use; the rest covers budgets refilled by restarts. */
const RETRY_BUDGET_SHARE = 0.5;

/** State and decisions of an entry. It opens no sockets: a `Gateway` connects it to callers. */
export class EntryCore {
  readonly #options: EntryCoreOptions;

  #gatewayLimits: GatewayLimits;

  readonly #log: Log;

  readonly #registry: TargetRegistry;

  readonly #entries: EntryDirectory;

  readonly #holds: TargetHolds;

  readonly #view: GatewayView;

  readonly #requestContext: RequestContext;

  readonly #suspects: SharedSuspectBreaker;

  readonly #rates: SharedRates;

  readonly #limits: SharedTargetLimits;

  readonly #contact: StoreContact;

  readonly #mirror: StoreMirror;

  readonly #lease: EntryLease;

  readonly #probe: PositionProbe;

  readonly #subscriptions: ReportSubscriptions;

  readonly #budgets: RetryBudgets;

  readonly #pools = new Map<string, TargetPool>();

  #cancelTick: (() => void) | null = null;

  #cancelQueueTick: (() => void) | null = null;

  #isRegistered = false;

  #isAccepting = true;

  #isStopping = false;

  #isClosed = false;

  constructor(options: EntryCoreOptions) {
    this.#options = options;
    this.#gatewayLimits = options.limits;
    const { clock, random, timers, codec, layout, metrics, createLog } = options;
    const log = createLog('store');
    this.#contact = new StoreContact({
      clock,
      log,
      metrics,
      onChange: (isUnavailable) => this.#view.handleStoreAvailability(isUnavailable),
    });
    const store = new ObservedStore(options.store, this.#contact, metrics);
    this.#registry = new TargetRegistry(clock, () => this.#gatewayLimits.drainMs);
    this.#entries = new EntryDirectory(clock);
    this.#budgets = new RetryBudgets(clock, () => this.#computeRetryShare());
    const limitsLog = createLog('limits');
    const suspectsLog = createLog('suspects');
    const sendToEntries = (message: PeerMessage): void =>
      options.network.sendToPeers(message, this.#listPeers());
    const rankSelf = (key: string): number => this.#entries.rank(options.self.name, key);
    this.#rates = new SharedRates({
      clock,
      timers,
      ownName: options.self.name,
      entries: this.#entries,
      log: limitsLog,
      metrics,
      sendToEntry: (message, address) => options.network.sendToPeers(message, [address]),
    });
    this.#limits = new SharedTargetLimits({
      clock,
      random,
      timers,
      store,
      prefix: layout.limitPrefix,
      registry: this.#registry,
      rates: this.#rates,
      log: limitsLog,
      ignored: new IgnoredRecordLog({ clock, log: limitsLog, metrics, component: 'limits' }),
      rankSelf,
      sendToEntries,
    });
    this.#holds = new TargetHolds({ clock, getDrainMs: () => this.#gatewayLimits.drainMs });
    const paceLog = createLog('pace');
    const pace = new TargetPace({
      clock,
      random,
      registry: this.#registry,
      isEnabled: () => this.#gatewayLimits.pacesTargets === true,
      hasTargets: () => this.#view.isComplete(),
      countEntries: () => this.#entries.countSharingEntries(),
      onChange: (change) => reportPaceChange(paceLog, metrics, change),
    });
    const picker = new TargetPicker({
      clock,
      random,
      registry: this.#registry,
      coldLimiter: new ColdLimiter({
        clock,
        ownName: options.self.name,
        entries: this.#entries,
      }),
      limits: this.#limits,
      holds: this.#holds,
      pace,
      countEntries: () => this.#entries.countSharingEntries(),
    });
    metrics.register('limpetbay_paced_targets', () => pace.countPaced());
    metrics.register('limpetbay_remembered_targets', () => picker.countRemembered());
    this.#suspects = new SharedSuspectBreaker({
      clock,
      random,
      timers,
      store,
      prefix: layout.suspectPrefix,
      ownName: options.self.name,
      log: suspectsLog,
      metrics,
      rankSelf,
      sendToEntries,
    });
    const viewLog = createLog('view');
    this.#view = new GatewayView({
      clock,
      log: viewLog,
      ignored: new IgnoredRecordLog({ clock, log: viewLog, metrics, component: 'view' }),
      layout,
      registry: this.#registry,
      entries: this.#entries,
      picker,
      suspects: this.#suspects,
      limits: this.#limits,
      onConfig: options.onConfig,
    });
    this.#requestContext = {
      clock,
      random,
      timers,
      codec,
      metrics,
      registry: this.#registry,
      picker,
      queue: new AdmissionQueue(clock, () => this.#scheduleQueue()),
      shares: new FairShares({
        clock,
        log: createLog('shares'),
        metrics,
        isEnabled: () => this.#gatewayLimits.sharesByWorkspace ?? false,
      }),
      bodyBudget: options.bodyBudget,
      answerBudget: options.answerBudget,
      limits: this.#limits,
      holds: this.#holds,
      pace,
      suspects: this.#suspects,
      endCheck: new TargetEndCheck({
        clock,
        network: options.network,
        log: suspectsLog,
      }),
      stopDeadline: new StopDeadline(),
      streamDurations: new RecentMaxima(clock),
      bodySizes: new RecentMaxima(clock),
      log: createLog('request'),
      countEntries: () => this.#entries.countSharingEntries(),
      getTable: () => this.#view.getTable(),
      getBudget: (service) => this.#budgets.get(service),
      getPool: (address) => this.#getPool(address),
    };
    this.#subscriptions = new ReportSubscriptions({
      clock,
      random,
      ownName: options.self.name,
      subscribe: (agents) => options.network.sendToPeers({ kind: 'subscribe' }, agents),
    });
    this.#log = createLog('entry');
    const ownKey = `${layout.entryPrefix}${options.self.name}`;
    this.#mirror = new StoreMirror({
      clock,
      store,
      prefix: '',
      checkKey: ownKey,
      listener: this.#view,
      timers,
      random,
      log,
      countMirrors: () => this.#entries.countSharingEntries(),
    });
    this.#lease = new EntryLease({
      store,
      timers,
      random,
      log,
      countEntries: () => this.#entries.countSharingEntries(),
      key: ownKey,
      record: options.self,
    });
    this.#probe = new PositionProbe({
      clock,
      timers,
      mirror: this.#mirror,
      contact: this.#contact,
      ownName: options.self.name,
      log,
      listNames: () => this.#entries.listEntries().map(({ name }) => name),
      readPosition: () => store.read(ownKey),
      announce: (position, names) =>
        options.network.sendToPeers(
          { kind: 'store_position', era: position.era, revision: position.revision },
          this.#listPeers(names),
        ),
    });
  }

  start(): void {
    this.#mirror.start();
    this.#probe.start();
    this.#tick();
  }

  /** Sets whether callers can connect; until then the entry is not ready. */
  setAccepting(isAccepting: boolean): void {
    this.#isAccepting = isAccepting;
  }

  /** Returns whether callers can connect. */
  isAccepting(): boolean {
    return this.#isAccepting;
  }

  /** Returns whether this entry can serve callers. */
  isReady(): boolean {
    return this.#isAccepting && this.#view.isComplete() && !this.#isStopping;
  }

  getTable(): RouteTable | null {
    return this.#view.getTable();
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

  /** Explains where a request would go now, without sending it. */
  explain(query: RouteQuery): RouteExplanation {
    const { picker, queue } = this.#requestContext;
    return explainRoute(this.#view.getTable(), query, {
      picker,
      holds: this.#holds,
      limits: this.#limits,
      waiting: queue.count(),
      isStopping: this.#isStopping,
    });
  }

  setLimits(limits: GatewayLimits): void {
    this.#gatewayLimits = limits;
    this.#budgets.updateShare();
  }

  /**
   * Processes a request.
   *
   * @param receivedMs when it was read, monotonic milliseconds; now by default
   * @returns a function to call if the caller disconnects
   */
  acceptRequest(
    head: RequestHead,
    body: Buffer,
    answer: DirectAnswer,
    receivedMs = this.#options.clock.getNow(),
  ): () => void {
    const run = new RequestRun(this.#requestContext, { head, body, answer, receivedMs });
    try {
      run.start();
    } catch (error) {
      run.cancel();
      throw error;
    }
    return () => run.cancel();
  }

  /** Handles a message of another process of the system. @param from `IP:PORT` of the sender */
  handlePeerMessage(message: PeerMessage, from: string): void {
    this.#suspects.handlePeerMessage(message);
    this.#limits.handlePeerMessage(message);
    this.#rates.handlePeerMessage(message, from);
    if (message.kind === 'store_position') this.#probe.handlePeerPosition(message);
    if (message.kind !== 'load') return;
    const { report, reporters } = message;
    const ranks = decodeLoads(message.ranks, message.paces);
    this.#requestContext.picker.handleReport({ ...report, ranks });
    this.#subscriptions.handleReport(report.group, reporters, ranks.length > 1);
    this.#requestContext.queue.advance();
  }

  /**
   * Withdraws the registration. Requests that can finish in time are still served; the others are
   * refused, including those that wait for a target.
   *
   * @param deadlineMs when the last request must be answered, monotonic milliseconds
   */
  beginStop(deadlineMs: number): void {
    this.#isStopping = true;
    this.#requestContext.stopDeadline.set(deadlineMs);
    this.#requestContext.queue.advance();
    void this.#lease.stop();
  }

  /** Returns the route tables in memory. */
  getHeldTables(): HeldTables {
    return this.#view.getHeldTables();
  }

  /** Returns the number of open connections to targets. */
  countTargetConnections(): number {
    let count = 0;
    for (const pool of this.#pools.values()) count += pool.count();
    return count;
  }

  /**
   * Ends all activity and closes the connections to targets. Requests that are read until the process
   * ends are refused.
   */
  close(): void {
    this.#requestContext.stopDeadline.set(-Infinity);
    this.#mirror.stop();
    this.#probe.stop();
    this.#suspects.close();
    this.#limits.close();
    this.#isClosed = true;
    this.#cancelTick?.();
    this.#cancelQueueTick?.();
    for (const pool of this.#pools.values()) pool.close();
  }

  /** Waits expire and slots become free between load reports, so waiting requests are tried again. */
  #scheduleQueue(): void {
    if (this.#cancelQueueTick !== null || this.#isClosed) return;
    this.#cancelQueueTick = this.#options.timers.schedule(QUEUE_INTERVAL_MS, () => {
      this.#cancelQueueTick = null;
      tryStep(this.#log, 'advance the queue', {}, () => this.#requestContext.queue.advance());
      if (this.#requestContext.queue.count() > 0) this.#scheduleQueue();
    });
  }

  #tick(): void {
    const tasks = {
      'check the store': () => this.#contact.advance(),
      'expire the view': () => this.#view.expire(),
      'expire suspects': () => this.#suspects.expire(),
      'expire limits': () => this.#limits.expire(),
      'expire target holds': () =>
        this.#holds.expire(new Set(this.#registry.listAll().map(buildRunName))),
      'expire targets that are gone': () => this.#requestContext.picker.expire(),
      'expire retry budgets': () => this.#expireBudgets(),
      'expire paces': () => this.#requestContext.pace.expire(),
      'expire shared rates': () => this.#rates.expire(),
      subscribe: () => this.#subscriptions.advance(this.#listOverdueAgents()),
      register: () => this.#register(),
      'close idle connections': () => this.#closeIdlePools(),
    };
    for (const [step, run] of Object.entries(tasks)) tryStep(this.#log, step, {}, run);
    this.#cancelTick = this.#options.timers.schedule(TICK_INTERVAL_MS, () => this.#tick());
  }

  #register(): void {
    if (this.#isRegistered || !this.isReady()) return;
    this.#isRegistered = true;
    this.#lease.start();
  }

  #closeIdlePools(): void {
    for (const [address, pool] of this.#pools) {
      pool.closeIdle(MAX_POOL_IDLE_MS);
      if (pool.count() === 0) this.#pools.delete(address);
    }
  }

  /**
   * Lists the addresses of the other entries for datagrams.
   *
   * @param names of those that are listed; all by default
   */
  #listPeers(names: ReadonlySet<string> | null = null): string[] {
    const addresses: string[] = [];
    for (const { name, peerAddress } of this.#entries.listEntries()) {
      if (name === this.#options.self.name) continue;
      if (names === null || names.has(name)) addresses.push(peerAddress);
    }
    return addresses;
  }

  /** Lists the agents of the model ranks whose load reports are overdue. */
  #listOverdueAgents(): string[] {
    const agents = new Set<string>();
    const { port } = splitAddress(this.#options.self.peerAddress);
    const table = this.#view.getTable();
    for (const target of this.#registry.listAll()) {
      const engine = table?.findService(target.service)?.engine ?? null;
      if (engine === null || !this.#requestContext.picker.isReportOverdue(target)) continue;
      agents.add(`${splitAddress(target.address).host}:${port}`);
    }
    return [...agents];
  }

  #expireBudgets(): void {
    const table = this.#view.getTable();
    if (table === null) return;
    this.#budgets.expire((service) => table.findService(service) !== undefined);
  }

  /** Returns this entry's share of the retry limits, which all entries keep together. */
  #computeRetryShare(): { readonly ratio: number; readonly burst: number } {
    const { retryRatio, retryBurst } = this.#gatewayLimits;
    const burst = (retryBurst * RETRY_BUDGET_SHARE) / this.#entries.countSharingEntries();
    return { ratio: retryRatio * RETRY_BUDGET_SHARE, burst: Math.max(1, burst) };
  }

  #getPool(address: string): TargetPool {
    let pool = this.#pools.get(address);
    if (pool === undefined) {
      pool = this.#options.network.openPool(address);
      this.#pools.set(address, pool);
    }
    return pool;
  }
}
