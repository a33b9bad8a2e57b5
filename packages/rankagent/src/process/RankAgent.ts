import {
  Ok,
  splitAddress,
  type EngineModel,
  type RankOrder,
  type RankStatus,
} from '@limpetbay/core';
import { decodeUnits, encodeLoads, encodeUnits, type PeerMessage } from '@limpetbay/rpc';
import {
  IgnoredRecordLog,
  SocketErrorLog,
  TrafficCounter,
  tryAsyncStep,
  type Log,
} from '@limpetbay/runtime';
import type { ArmOrder } from '../planner/ArmOrder.js';
import { CallQueue } from '../planner/CallQueue.js';
import { LinkPacer } from '../planner/LinkPacer.js';
import { MapPlanner } from '../planner/MapPlanner.js';
import { OrderClient } from '../planner/OrderClient.js';
import { PlannerArmGuard } from '../planner/PlannerArmGuard.js';
import type { RankHandle } from '../planner/RankHandle.js';
import { RemoteRank } from '../planner/RemoteRank.js';
import type { PeerTransport } from '../ports/PeerTransport.js';
import type { RankControl } from '../ports/RankControl.js';
import { GroupMembers } from './GroupMembers.js';
import { LoadReporter } from './LoadReporter.js';
import { OrderExecutor } from './OrderExecutor.js';
import { PassTimeEstimator } from './PassTimeEstimator.js';
import type { RankAgentOptions } from './RankAgentOptions.js';
import { StallDetector } from './StallDetector.js';
import { TrafficBudget } from './TrafficBudget.js';

/** Interval at which the rank is read; a pass takes about half of it, milliseconds. */
const TICK_MS = 100;

/** Interval while a map is loaded or switched, milliseconds. */
const SWITCH_TICK_MS = 25;

/** Interval while an open group begins no passes, milliseconds. */
const IDLE_TICK_MS = 800;

/** Time for which a group that has just formed is read as often as a busy one, milliseconds. */
const NEW_GROUP_PERIOD_MS = 3000;

/** Interval at which the targets of the service are read, milliseconds. */
const TARGETS_INTERVAL_MS = 5000;

/** Interval until all members of the group are known, milliseconds. */
const FIRST_TARGETS_INTERVAL_MS = 600;

/** Interval at which the engine model of the service is read; it rarely changes, milliseconds. */
const MODEL_INTERVAL_MS = 30_000;

/** Interval until the model has been read once, milliseconds. */
const FIRST_MODEL_INTERVAL_MS = 600;

/** Interval at which this agent sends its status to all agents of the group, milliseconds. */
const ANNOUNCEMENT_INTERVAL_MS = 2000;

/** Interval at which it goes to all agents of the service until the group is known, milliseconds. */
const FIRST_ANNOUNCEMENT_INTERVAL_MS = 500;

/** Interval at which the planning agent sends its status to the group, milliseconds. */
const PLANNER_STATUS_INTERVAL_MS = 250;

interface OpenRank {
  readonly address: string;
  /** The rank itself, used while its agent does not answer. */
  readonly direct: RankControl;
  readonly remote: RemoteRank;
}

/**
 * Agent of one rank: reads the rank's status and counts, passes orders to it, reports its load and,
 * if it is elected, plans the expert maps of the group.
 */
export class RankAgent {
  readonly #options: RankAgentOptions;

  readonly #log: Log;

  readonly #rank: RankControl;

  readonly #socket: PeerTransport;

  /** Stops answering calls of other agents; null until the server has started. */
  #stopServing: (() => void) | null = null;

  readonly #members: GroupMembers;

  readonly #orders: OrderClient;

  readonly #mapCalls = new CallQueue();

  readonly #executor: OrderExecutor;

  readonly #budget: TrafficBudget;

  readonly #pacer: LinkPacer;

  readonly #passTimes = new PassTimeEstimator();

  readonly #stall = new StallDetector();

  readonly #armGuard = new PlannerArmGuard();

  /** Rank of the planner for which this agent last armed it. */
  #plannerRank: { readonly address: string; readonly rank: RankControl } | null = null;

  /** Other ranks of the group, by the address of their agent. */
  readonly #remotes = new Map<string, OpenRank>();

  readonly #reporter: LoadReporter;

  /** Addresses of the other agents of the service. */
  #peers: string[] = [];

  #planner: MapPlanner | null = null;

  /** Undefined until the model of the service has been read. */
  #expertModel: EngineModel['experts'] | undefined;

  /** Group and rank of the last status. */
  #groupAndRank: string | null = null;

  #status: RankStatus | null = null;

  #counts: readonly number[] | null = null;

  /** Whether the counts of the next interval with any are to be sent. */
  #isCountsTurn = false;

  /** Number of counts that the rank reports. */
  #countsLength = 0;

  #lastCountsReadMs = -Infinity;

  /** Number of intervals of counts since the start. */
  #countsIntervals = 0;

  #lastStatusMs = -Infinity;

  /** Status that was last sent to a planner, and the agent of that planner. */
  #sentStatus: { readonly status: RankStatus; readonly to: string } | null = null;

  /** Whether the state that was last sent to the planner has been sent only once. */
  #hasNewState = false;

  #lastTargetsReadMs = -Infinity;

  #nextModelReadMs = -Infinity;

  #lastAnnouncementMs = -Infinity;

  #lastPlannerStatusMs = -Infinity;

  /** Time at which the group was last seen to form or to close. */
  #groupChangedMs = -Infinity;

  /** Begins the next tick at once. */
  #endSleep: () => void = () => {};

  #isPlanning = false;

  #isStopped = false;

  constructor(options: RankAgentOptions) {
    this.#options = options;
    this.#log = options.createLog('agent');
    const { clock, metrics } = options;
    const ignored = new IgnoredRecordLog({ clock, log: this.#log, metrics, component: 'agent' });
    this.#rank = options.openRank(options.rankAddress);
    this.#executor = new OrderExecutor({
      rank: this.#rank,
      getGroupSize: () => this.#status?.size ?? null,
      // The planner waits for the status that tells that the map is loaded.
      onLoading: () => this.#endSleep(),
    });
    this.#members = new GroupMembers(options.clock);
    this.#budget = new TrafficBudget(options.linkBitsPerSecond);
    this.#pacer = new LinkPacer(options.clock, options.linkBitsPerSecond);
    const errors = new SocketErrorLog({ clock, log: this.#log, metrics });
    const traffic = new TrafficCounter(metrics);
    this.#socket = options.network.openTransport({
      onMessage: (message, from) => this.#handleMessage(message, from),
      onTraffic: (direction, kind, bytes) => traffic.record(direction, kind, bytes),
      onInvalid: (address, cause) => ignored.report('datagram', address, cause),
      onError: (cause) =>
        errors.report('datagrams', 'datagram failed', { cause, next: 'later messages are sent' }),
    });
    this.#reporter = new LoadReporter({
      clock: options.clock,
      budget: this.#budget,
      send: (message, addresses) => this.#socket.send(message, addresses),
      listRelays: () => this.#members.listResponsiveAgents(),
    });
    this.#orders = new OrderClient({
      clock: options.clock,
      pacer: this.#pacer,
      send: (message, agent) => this.#socket.send(message, [agent]),
    });
  }

  async start(): Promise<void> {
    await this.#socket.start();
    this.#stopServing = await this.#options.network.serve({
      order: async (order, epoch) => {
        const answer = await this.#executor.execute(order, epoch);
        return Ok({ answer, status: await this.#readStatus() });
      },
      readHeld: () => this.#rank.readHeld(),
    });
    this.#log.report('started', { rank: this.#options.rankAddress });
    void this.#run();
  }

  /** Changes the bandwidth of the link, bits per second. */
  setLinkRate(linkBitsPerSecond: number): void {
    this.#budget.setLinkRate(linkBitsPerSecond);
    this.#pacer.setLinkRate(linkBitsPerSecond);
  }

  stop(): void {
    this.#isStopped = true;
    this.#closeRemotes();
    this.#stopServing?.();
    this.#socket.close();
    this.#log.report('stopped');
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      await tryAsyncStep(this.#log, 'read the rank', () => this.#tick());
      await new Promise<void>((resolve) => {
        const timer = setTimeout(resolve, this.#chooseTickMs());
        this.#endSleep = () => {
          clearTimeout(timer);
          resolve();
        };
      });
    }
  }

  #chooseTickMs(): number {
    if (this.#planner?.isSwitching() === true || isSwitching(this.#status)) return SWITCH_TICK_MS;
    if (this.#status === null) return IDLE_TICK_MS;
    const { isOpen, passMs } = this.#status;
    const isIdle = passMs === 0 && !isBusy(this.#status);
    const isNew = this.#options.clock.getNow() - this.#groupChangedMs < NEW_GROUP_PERIOD_MS;
    return isOpen && !isNew && isIdle ? IDLE_TICK_MS : TICK_MS;
  }

  async #tick(): Promise<void> {
    const nowMs = this.#options.clock.getNow();
    const status = await this.#readStatus();
    if (status === null || this.#isStopped) return;
    const intervalMs = this.#isGroupComplete(status)
      ? TARGETS_INTERVAL_MS
      : FIRST_TARGETS_INTERVAL_MS;
    if (nowMs - this.#lastTargetsReadMs >= intervalMs) {
      this.#lastTargetsReadMs = nowMs;
      void tryAsyncStep(this.#log, 'read the targets', () => this.#readTargets());
    }
    if (nowMs >= this.#nextModelReadMs) {
      this.#nextModelReadMs = nowMs + FIRST_MODEL_INTERVAL_MS;
      void tryAsyncStep(this.#log, 'read the engine model', () => this.#readModel());
    }
    this.#members.setStalled(this.#stall.isStalled(this.#options.clock.getNow()));
    const planner = this.#members.electPlanner(status.rank);
    this.#sendStatus(status, planner, nowMs);
    const isIntervalOver = nowMs - this.#lastCountsReadMs >= TICK_MS;
    if (isIntervalOver) {
      this.#lastCountsReadMs = nowMs;
      await this.#forwardCounts(status, planner);
      if (planner === status.rank) this.#sendLoad(status);
    }
    this.#plan(status, planner, isIntervalOver);
  }

  /** Returns whether the agents of all ranks of the group are known. */
  #isGroupComplete({ size }: RankStatus): boolean {
    return this.#members.count() >= size - 1;
  }

  async #readStatus(): Promise<RankStatus | null> {
    this.#options.metrics.increase('limpetbay_rank_reads_total{kind="status"}');
    const read = await this.#rank.readStatus();
    if (read.err) {
      if (this.#status !== null) {
        this.#log.warn('could not read the status of this rank; trying again', {
          cause: read.val.message,
        });
      }
      this.#status = null;
      return null;
    }
    const nowMs = this.#options.clock.getNow();
    const passMs = this.#passTimes.recordStep(read.val.step, isBusy(read.val), nowMs);
    const status = { ...read.val, passMs };
    this.#stall.recordStatus(status, nowMs);
    this.#armGuard.recordStatus(status);
    this.#updateGroupAndRank(status);
    if (this.#status?.epoch !== status.epoch || this.#status.isOpen !== status.isOpen) {
      this.#log.report('group epoch or state changed', {
        group: status.group,
        epoch: status.epoch,
        rank: status.rank,
        isOpen: status.isOpen,
      });
      this.#groupChangedMs = nowMs;
      this.#sendOwnLoad(status, this.#reporter.listSubscribers());
    }
    this.#status = status;
    this.#getPlanner(status.rank).handleStatus(status);
    return status;
  }

  /** Clears the state of the previous group if the engine restarted with another group or rank. */
  #updateGroupAndRank({ group, rank }: RankStatus): void {
    const place = `${group}/${rank}`;
    if (place === this.#groupAndRank) return;
    if (this.#groupAndRank !== null) {
      this.#log.report('rank or group changed; clearing the state of the previous group', {
        was: this.#groupAndRank,
        place,
      });
    }
    this.#groupAndRank = place;
    this.#members.clear();
    this.#closeRemotes();
    this.#executor.clear();
    this.#planner = null;
    this.#isPlanning = false;
    this.#counts = null;
    this.#sentStatus = null;
    this.#lastTargetsReadMs = -Infinity;
  }

  #sendStatus(status: RankStatus, planner: number, nowMs: number): void {
    const isPlanning = planner === status.rank;
    const receivers = new Set<string>();
    const agent = this.#members.getAgent(planner);
    if (agent !== null && this.#isStatusDue(status, agent, nowMs)) {
      this.#lastStatusMs = nowMs;
      this.#sentStatus = { status, to: agent };
      receivers.add(agent);
    }
    if (isPlanning && nowMs - this.#lastPlannerStatusMs >= PLANNER_STATUS_INTERVAL_MS) {
      this.#lastPlannerStatusMs = nowMs;
      const { group, rank } = status;
      this.#socket.send({ kind: 'planning', group, rank }, this.#members.listAgents());
    }
    const isComplete = this.#isGroupComplete(status);
    const announcementIntervalMs = isComplete
      ? ANNOUNCEMENT_INTERVAL_MS
      : FIRST_ANNOUNCEMENT_INTERVAL_MS;
    if (nowMs - this.#lastAnnouncementMs >= announcementIntervalMs) {
      this.#lastAnnouncementMs = nowMs;
      // Once the members are known, the agents of other groups need not be told.
      const peers = isComplete ? this.#members.listAnnouncementReceivers(status.rank) : this.#peers;
      for (const peer of peers) receivers.add(peer);
    }
    this.#socket.send({ kind: 'status', status, isPlanning, isIncomplete: !isComplete }, receivers);
  }

  /** Returns whether the planner should be sent the status now. */
  #isStatusDue(status: RankStatus, to: string, nowMs: number): boolean {
    const sent = this.#sentStatus;
    if (sent?.to !== to || hasChangedState(sent.status, status)) {
      this.#hasNewState = true;
      return true;
    }
    // All ranks report a new state at once, and a full link drops some of the datagrams.
    if (this.#hasNewState) {
      this.#hasNewState = false;
      return true;
    }
    const intervalMs = Math.max(TICK_MS, this.#budget.getStatusIntervalMs(status.size));
    return nowMs - this.#lastStatusMs >= intervalMs;
  }

  #sendLoad(status: RankStatus): void {
    this.#reporter.reportGroup(
      status.size,
      () => this.#createReport(status),
      () => [status, ...this.#members.listStatuses()],
    );
  }

  #createReport({ group, epoch, isOpen, passMs, size }: RankStatus) {
    const isMapped = size === 1 || this.#planner?.hasSuitableMap() === true;
    return { group, epoch, isOpen, passMs, isMapped };
  }

  /** Sends the load of the own rank. */
  #sendOwnLoad(status: RankStatus, receivers: readonly string[]): void {
    if (receivers.length === 0) return;
    const report = this.#createReport(status);
    this.#socket.send({ kind: 'load', report, ranks: encodeLoads([status]) }, receivers);
  }

  /** Sends a new subscriber the state of this rank at once; later loads come from the planner. */
  #handleSubscription(address: string): void {
    const isNew = this.#reporter.subscribe(address);
    if (isNew && this.#status !== null) this.#sendOwnLoad(this.#status, [address]);
  }

  async #forwardCounts(status: RankStatus, planner: number): Promise<void> {
    this.#countsIntervals += 1;
    const previous = this.#counts;
    const period = this.#budget.getCountsPeriod(status.size, this.#countsLength, TICK_MS);
    // Ranks take turns, each with the counts of its latest interval only: the demand of earlier
    // ones may have shifted, and those of other ranks have represented them.
    const intervalsLeft = (period - ((this.#countsIntervals + status.rank) % period)) % period;
    if (intervalsLeft === 0) this.#isCountsTurn = true;
    this.#counts = null;
    if (intervalsLeft > 1 && !this.#isCountsTurn) return;
    this.#options.metrics.increase('limpetbay_rank_reads_total{kind="counts"}');
    const read = await this.#rank.readCounts();
    if (read.err) {
      this.#log.warn('could not read the expert counts; trying again', { cause: read.val.message });
      return;
    }
    const { counts } = read.val;
    this.#counts = counts;
    this.#countsLength = counts.length;
    if (!this.#isCountsTurn || previous?.length !== counts.length) return;
    const increases = counts.map((count, index) => count - (previous[index] ?? 0));
    // A restarted rank counts from 0 again.
    if (increases.some((count) => count < 0)) return;
    // The turn lasts until a pass has ended, which may take longer than an interval.
    if (increases.every((count) => count === 0)) return;
    this.#isCountsTurn = false;
    if (planner === status.rank) this.#planner?.addCounts(increases);
    else {
      const agent = this.#members.getAgent(planner);
      if (agent === null) return;
      const { group, epoch, rank } = status;
      this.#socket.send({ kind: 'counts', group, epoch, rank, ...encodeUnits(increases) }, [agent]);
    }
  }

  #plan(status: RankStatus, elected: number, isIntervalOver: boolean): void {
    const planner = this.#getPlanner(status.rank);
    const isElected = elected === status.rank && status.size > 1;
    if (isElected !== this.#isPlanning) {
      this.#isPlanning = isElected;
      this.#log.report(isElected ? 'planning for the group' : 'another agent plans', {
        group: status.group,
        planner: elected,
      });
      if (!isElected) planner.invalidateMap();
    }
    if (isElected && isIntervalOver) planner.closeInterval();
    // The process whose rank holds the pass finishes its switch, also if another one is elected.
    if (isElected || planner.isSwitching()) planner.advance();
  }

  #getPlanner(ownRank: number): MapPlanner {
    if (this.#planner !== null) return this.#planner;
    const planner = new MapPlanner({
      clock: this.#options.clock,
      log: this.#options.createLog('planner'),
      metrics: this.#options.metrics,
      ownRank,
      getRank: (rank) => this.#openRank(rank, ownRank),
      findMap: (epoch, version) => this.#executor.findMap(epoch, version),
      armGuard: this.#armGuard,
      isGroupStalled: () => this.#stall.isStalled(this.#options.clock.getNow()),
    });
    if (this.#expertModel !== undefined) planner.setModel(this.#expertModel);
    this.#planner = planner;
    return planner;
  }

  #openRank(rank: number, ownRank: number): RankHandle | null {
    if (rank === ownRank) {
      const own = {
        order: (order: RankOrder, epoch: number) => this.#executor.execute(order, epoch),
        // A planner whose own rank holds the pass arms that rank itself.
        armPlanner: (order: ArmOrder, epoch: number) => this.#executor.execute(order, epoch),
        readHeld: () => this.#rank.readHeld(),
      };
      return this.#wrapRank(own, this.#rank, () => 'local');
    }
    const agent = this.#members.getAgent(rank);
    const address = this.#members.getRankAddress(rank);
    if (agent === null || address === null) return null;
    const existing = this.#remotes.get(agent);
    if (existing?.address === address) return this.#wrapRemote(existing);
    existing?.remote.close();
    const direct = this.#options.openRank(address);
    const remote = new RemoteRank({
      clock: this.#options.clock,
      agentAddress: agent,
      agent: this.#options.network.openAgent(agent),
      direct,
      orders: this.#orders,
      mapCalls: this.#mapCalls,
      onStatus: (status) => this.#planner?.handleStatus(status),
      getLastHeardMs: () => this.#members.getLastHeardMs(agent),
      isAgentSilent: () => this.#members.isSilent(agent),
    });
    const opened = { address, direct, remote };
    this.#remotes.set(agent, opened);
    return this.#wrapRemote(opened);
  }

  #wrapRemote({ remote, direct }: OpenRank): RankHandle {
    const { rankAddress } = this.#options;
    const rank = {
      order: remote.order.bind(remote),
      armPlanner: (order: ArmOrder, epoch: number) => remote.armPlanner(order, epoch, rankAddress),
      readHeld: () => remote.readHeld(),
    };
    return this.#wrapRank(rank, direct, () => (remote.isBypassed() ? 'direct' : 'agent'));
  }

  #closeRemotes(): void {
    for (const { remote } of this.#remotes.values()) remote.close();
    this.#remotes.clear();
  }

  #wrapRank(
    rank: Pick<RankHandle, 'order' | 'armPlanner'> & Pick<RankControl, 'readHeld'>,
    direct: RankControl,
    getPath: RankHandle['getPath'],
  ): RankHandle {
    return {
      getPath,
      order: (order, epoch, mapOrder) => rank.order(order, epoch, mapOrder),
      armPlanner: (order, epoch) => rank.armPlanner(order, epoch),
      readHeld: async () => {
        const held = await rank.readHeld();
        if (held.ok) return held.val;
        this.#log.warn('could not read the experts of a rank; trying again', {
          cause: held.val.message,
        });
        return null;
      },
      pollStatus: async () => {
        const status = await direct.readStatus();
        if (status.ok) this.#planner?.handleStatus(status.val);
        else this.#log.warn('could not poll a rank; trying again', { cause: status.val.message });
      },
    };
  }

  async #readTargets(): Promise<void> {
    const targets = await this.#options.listTargets();
    if (targets.ok) {
      const peers = new Set<string>();
      for (const { address } of targets.val) {
        if (address === this.#options.rankAddress) continue;
        peers.add(`${splitAddress(address).host}:${this.#options.peerPort}`);
      }
      this.#peers = [...peers];
      if (this.#members.count() === 0) this.#lastAnnouncementMs = -Infinity;
    } else this.#log.warn('could not read targets; trying again', { cause: targets.val.message });
  }

  async #readModel(): Promise<void> {
    const model = await this.#options.readModel();
    const nextMs = this.#options.clock.getNow() + MODEL_INTERVAL_MS;
    if (model.err) {
      this.#log.warn('could not read the engine model; trying again', { cause: model.val.message });
      // A model that was read stays valid while the store is unavailable.
      if (this.#expertModel !== undefined) this.#nextModelReadMs = nextMs;
      return;
    }
    if (model.val === null) return;
    this.#nextModelReadMs = nextMs;
    this.#expertModel = model.val.experts;
    this.#executor.setModel(model.val.experts);
    this.#planner?.setModel(model.val.experts);
  }

  #sendOwnStatus(agent: string): void {
    if (this.#status === null) return;
    const isPlanning = this.#isPlanning;
    const message = {
      kind: 'status',
      status: this.#status,
      isPlanning,
      isIncomplete: false,
    } as const;
    this.#socket.send(message, [agent]);
  }

  async #executeOrder(
    message: Extract<PeerMessage, { kind: 'order' }>,
    from: string,
  ): Promise<void> {
    const answer = await this.#executor.execute(message.order, message.epoch);
    this.#socket.send({ kind: 'answer', id: message.id, answer }, [from]);
  }

  async #executeMapOrder(
    message: Extract<PeerMessage, { kind: 'map_order' }>,
    from: string,
  ): Promise<void> {
    const answer = await this.#executor.executeMapOrder(message.order, message.epoch);
    const planner = message.replyTo ?? from;
    this.#socket.send({ kind: 'answer', id: message.id, answer }, [planner]);
  }

  /** Forwards the map orders of a planner and executes the one for the own rank. */
  #relayMapOrders(
    { epoch, order, receivers }: Extract<PeerMessage, { kind: 'map_relay' }>,
    planner: string,
  ): void {
    const [own, ...others] = receivers;
    for (const { id, agent } of others) {
      const message = { kind: 'map_order', id, epoch, order, replyTo: planner } as const;
      const delayMs = this.#pacer.reserve(JSON.stringify(message).length);
      if (delayMs === 0) this.#socket.send(message, [agent]);
      else setTimeout(() => this.#socket.send(message, [agent]), delayMs);
    }
    if (own === undefined) return;
    void tryAsyncStep(this.#log, 'execute a map order', () =>
      this.#executeMapOrder({ kind: 'map_order', id: own.id, epoch, order }, planner),
    );
  }

  /** Arms the rank of a planner for the pass that the rank of this agent holds. */
  async #armPlanner(
    { id, epoch, version, step, rankAddress }: Extract<PeerMessage, { kind: 'planner_arm' }>,
    from: string,
  ): Promise<void> {
    const status = await this.#readStatus();
    const isHeld = status?.epoch === epoch && status.held === step;
    if (!isHeld || !this.#armGuard.begin({ epoch, step })) {
      this.#socket.send({ kind: 'answer', id, answer: 'refused' }, [from]);
      return;
    }
    if (this.#plannerRank?.address !== rankAddress) {
      this.#plannerRank = { address: rankAddress, rank: this.#options.openRank(rankAddress) };
    }
    const answer = await this.#plannerRank.rank.order({ operation: 'arm', version, step }, epoch);
    this.#armGuard.finish({ epoch, step }, answer);
    this.#socket.send({ kind: 'answer', id, answer }, [from]);
  }

  #handleMessage(message: PeerMessage, from: string): void {
    if (message.kind === 'subscribe') {
      this.#handleSubscription(from);
      return;
    }
    if (message.kind === 'answer') this.#orders.handleAnswer(message.id, message.answer);
    if (message.kind === 'order') {
      void tryAsyncStep(this.#log, 'execute an order', () => this.#executeOrder(message, from));
    }
    if (message.kind === 'map_order') {
      void tryAsyncStep(this.#log, 'execute a map order', () =>
        this.#executeMapOrder(message, from),
      );
    }
    if (message.kind === 'load_relay') {
      const { report, ranks, receivers } = message;
      this.#socket.send({ kind: 'load', report, ranks }, receivers);
    }
    if (message.kind === 'map_relay') this.#relayMapOrders(message, from);
    if (message.kind === 'planner_arm') {
      void tryAsyncStep(this.#log, 'arm the rank of a planner', () =>
        this.#armPlanner(message, from),
      );
    }
    if (this.#status === null) return;
    if (message.kind === 'status') {
      const { status } = message;
      if (status.group !== this.#status.group) return;
      // An agent that has just started gets the status of this rank at once.
      if (message.isIncomplete || this.#members.getAgent(status.rank) !== from) {
        this.#sendOwnStatus(from);
      }
      this.#members.recordStatus(status, from, message.isPlanning);
      this.#planner?.handleStatus(status);
      return;
    }
    if (message.kind === 'planning' && message.group === this.#status.group) {
      this.#members.recordPlanning(message.rank, from);
    }
    if (message.kind !== 'counts') return;
    const { group, epoch, scale, units } = message;
    if (group !== this.#status.group || epoch !== this.#status.epoch) return;
    this.#planner?.addCounts(decodeUnits(units, scale));
  }
}

/** Returns whether the planner waits for the difference between two statuses. */
function hasChangedState(before: RankStatus, after: RankStatus): boolean {
  return (
    before.epoch !== after.epoch ||
    before.isOpen !== after.isOpen ||
    before.map !== after.map ||
    before.prepared !== after.prepared ||
    before.armed?.version !== after.armed?.version ||
    before.held !== after.held
  );
}

/** Returns whether the rank loads a map or is about to switch to one. */
function isSwitching(status: RankStatus | null): boolean {
  if (status === null) return false;
  return status.isBusy || status.armed !== null || status.held !== null;
}

/** Returns whether the rank has requests. */
function isBusy({ active, queued }: RankStatus): boolean {
  return active + queued > 0;
}
