import {
  Ok,
  splitAddress,
  type EngineModel,
  type RankOrder,
  type RankStatus,
} from '@limpetbay/core';
import { decodeUnits, encodeRankLoads, encodeUnits, type PeerMessage } from '@limpetbay/rpc';
import {
  IgnoredRecordLog,
  SocketErrorLog,
  TrafficCounter,
  tryAsyncStep,
  type Log,
} from '@limpetbay/runtime';
import { MemberDirectory } from '../discovery/MemberDirectory.js';
import { MemberSearch } from '../discovery/MemberSearch.js';
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
import { CountsTurn } from './CountsTurn.js';
import { GroupMembers } from './GroupMembers.js';
import { LoadReporter } from './LoadReporter.js';
import { OrderExecutor } from './OrderExecutor.js';
import { PassTimeEstimator } from './PassTimeEstimator.js';
import type { RankAgentOptions } from './RankAgentOptions.js';
import { StallDetector } from './StallDetector.js';
import { TrafficBudget } from './TrafficBudget.js';

/**
 * Interval at which a rank is read whose group forms or whose agent plans or may soon have to, and
 * of the intervals of demand; a pass takes about half of it, milliseconds.
 */
const TICK_MS = 100;

/** Interval while a pass is held and while a map has nearly been loaded, milliseconds. */
const SWITCH_TICK_MS = 25;

/** Interval while an open group begins no passes, milliseconds. */
const IDLE_TICK_MS = 800;

/** The same for the agent that plans and reports to the entries. */
const IDLE_PLANNER_TICK_MS = 500;

/** Time for which a group that has just formed is read as often as a busy one, milliseconds. */
const NEW_GROUP_PERIOD_MS = 3000;

/** Interval at which the targets of the service are read, milliseconds. */
const TARGETS_INTERVAL_MS = 60_000;

/** Bounds of the interval while members of the group are missing; it doubles, milliseconds. */
const FIRST_TARGETS_INTERVAL_MS = 600;
const MAX_SEARCH_TARGETS_INTERVAL_MS = 5000;

/** Interval at which the engine model of the service is read; it rarely changes, milliseconds. */
const MODEL_INTERVAL_MS = 30_000;

/** Interval until the model has been read once, milliseconds. */
const FIRST_MODEL_INTERVAL_MS = 600;

/** Interval at which this agent sends its status to all agents of the group, milliseconds. */
const ANNOUNCEMENT_INTERVAL_MS = 2000;

/** Interval at which the planning agent tells the agents that may plan next that it plans, milliseconds. */
const PLANNING_INTERVAL_MS = 250;

/** The same for all agents of the group while it does not wait for the planner, milliseconds. */
const PLANNING_TO_ALL_INTERVAL_MS = 500;

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

  /** Address of this agent, `IP:PORT`. */
  readonly #ownAgent: string;

  readonly #search: MemberSearch;

  readonly #directory: MemberDirectory;

  /** Addresses of the agents of the service, this one included. */
  #agents: string[] = [];

  #planner: MapPlanner | null = null;

  /** Undefined until the model of the service has been read. */
  #expertModel: EngineModel['experts'] | undefined;

  /** Group and rank of the last status. */
  #groupAndRank: string | null = null;

  #status: RankStatus | null = null;

  readonly #countsTurn: CountsTurn;

  #lastIntervalMs = -Infinity;

  /** When the rank has probably loaded the map that it was last ordered to prepare. */
  #loadingEndMs = -Infinity;

  #lastStatusMs = -Infinity;

  /** Status that was last sent to a planner, and the agent of that planner. */
  #sentStatus: { readonly status: RankStatus; readonly to: string } | null = null;

  /** Whether the state that was last sent to the planner has been sent only once. */
  #hasNewState = false;

  #lastTargetsReadMs = -Infinity;

  #searchTargetsIntervalMs = FIRST_TARGETS_INTERVAL_MS;

  #nextModelReadMs = -Infinity;

  #lastAnnouncementMs = -Infinity;

  #lastPlanningMs = -Infinity;

  #lastPlanningToAllMs = -Infinity;

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
      getOwnRank: () => this.#status?.rank ?? null,
      // The planner waits for the status that tells that the map is loaded.
      onLoading: (expectedMs) => {
        this.#loadingEndMs = clock.getNow() + expectedMs;
        this.#endSleep();
      },
    });
    this.#members = new GroupMembers(options.clock);
    this.#ownAgent = `${splitAddress(options.rankAddress).host}:${options.peerPort}`;
    this.#search = new MemberSearch(clock);
    this.#directory = new MemberDirectory(clock);
    this.#budget = new TrafficBudget(options.linkBitsPerSecond);
    this.#countsTurn = new CountsTurn({
      clock,
      budget: this.#budget,
      readCounts: () => {
        metrics.increase('limpetbay_rank_reads_total{kind="counts"}');
        return this.#rank.readCounts();
      },
    });
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
    const status = this.#status;
    if (this.#planner?.isSwitching() === true) return SWITCH_TICK_MS;
    if (status === null) return IDLE_TICK_MS;
    if (status.held !== null) return SWITCH_TICK_MS;
    if (status.armed !== null) return TICK_MS;
    const nowMs = this.#options.clock.getNow();
    const busyTickMs = this.#getBusyTickMs(status);
    if (status.isBusy) {
      const leftMs = this.#loadingEndMs - nowMs;
      return Math.max(SWITCH_TICK_MS, Math.min(leftMs, busyTickMs));
    }
    const isNew = nowMs - this.#groupChangedMs < NEW_GROUP_PERIOD_MS;
    if (!status.isOpen || isNew) return TICK_MS;
    if (status.passMs > 0 || hasRequests(status)) return busyTickMs;
    return this.#isPlanning ? IDLE_PLANNER_TICK_MS : IDLE_TICK_MS;
  }

  /** Returns the interval for a rank with requests: what is not sent need not be read more often. */
  #getBusyTickMs({ rank, size }: RankStatus): number {
    if (this.#members.isCandidate(rank)) return TICK_MS;
    const dueMs = Math.min(this.#budget.getStatusIntervalMs(size), this.#countsTurn.getDelayMs());
    return Math.max(TICK_MS, dueMs);
  }

  async #tick(): Promise<void> {
    const nowMs = this.#options.clock.getNow();
    const status = await this.#readStatus();
    if (status === null || this.#isStopped) return;
    this.#readStore(status, nowMs);
    this.#members.setStalled(this.#stall.isStalled(this.#options.clock.getNow()));
    const planner = this.#members.electPlanner(status.rank);
    this.#sendStatus(status, planner, nowMs);
    this.#searchMembers(status);
    const isIntervalOver = nowMs - this.#lastIntervalMs >= TICK_MS;
    if (isIntervalOver) {
      this.#lastIntervalMs = nowMs;
      await this.#forwardCounts(status, planner);
      if (planner === status.rank) this.#sendLoad(status);
    }
    this.#plan(status, planner, isIntervalOver);
  }

  /** Reads the targets and the model of the service if that is due. */
  #readStore(status: RankStatus, nowMs: number): void {
    const isComplete = this.#members.isComplete(status.rank, status.size);
    const intervalMs = isComplete ? TARGETS_INTERVAL_MS : this.#searchTargetsIntervalMs;
    if (nowMs - this.#lastTargetsReadMs >= intervalMs) {
      this.#lastTargetsReadMs = nowMs;
      this.#searchTargetsIntervalMs = Math.min(MAX_SEARCH_TARGETS_INTERVAL_MS, 2 * intervalMs);
      void tryAsyncStep(this.#log, 'read the targets', () => this.#readTargets());
    }
    if (nowMs >= this.#nextModelReadMs) {
      this.#nextModelReadMs = nowMs + FIRST_MODEL_INTERVAL_MS;
      void tryAsyncStep(this.#log, 'read the engine model', () => this.#readModel());
    }
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
    const passMs = this.#passTimes.recordStep(read.val.step, hasRequests(read.val), nowMs);
    const status = { ...read.val, passMs };
    this.#stall.recordStatus(status, nowMs);
    this.#armGuard.recordStatus(status);
    this.#updateGroupAndRank(status);
    const hasGroupChanged =
      this.#status?.epoch !== status.epoch || this.#status.isOpen !== status.isOpen;
    this.#status = status;
    if (hasGroupChanged) {
      this.#log.report('group epoch or state changed', {
        group: status.group,
        epoch: status.epoch,
        rank: status.rank,
        isOpen: status.isOpen,
      });
      this.#groupChangedMs = nowMs;
      this.#search.restart(status.group, this.#agents);
      this.#reporter.requestReport();
      if (this.#isPlanning) this.#sendLoad(status);
      else this.#sendOwnLoad(status, this.#reporter.listSubscribers());
    }
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
    this.#countsTurn.clear();
    this.#sentStatus = null;
    this.#lastTargetsReadMs = -Infinity;
    this.#searchTargetsIntervalMs = FIRST_TARGETS_INTERVAL_MS;
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
    if (isPlanning) this.#announcePlanning(status, nowMs);
    if (nowMs - this.#lastAnnouncementMs >= ANNOUNCEMENT_INTERVAL_MS) {
      this.#lastAnnouncementMs = nowMs;
      for (const peer of this.#members.listAnnouncementReceivers(status.rank)) receivers.add(peer);
    }
    if (receivers.size > 0) this.#sendStatusTo(status, receivers);
  }

  /** Tells the other agents that this one plans; those of the lowest ranks more often. */
  #announcePlanning({ group, rank }: RankStatus, nowMs: number): void {
    if (nowMs - this.#lastPlanningMs < PLANNING_INTERVAL_MS) return;
    this.#lastPlanningMs = nowMs;
    const isWaitedFor = this.#stall.isStalled(nowMs) || this.#planner?.isSwitching() === true;
    const isDueToAll = nowMs - this.#lastPlanningToAllMs >= PLANNING_TO_ALL_INTERVAL_MS;
    const isToAll = isWaitedFor || isDueToAll;
    if (isToAll) this.#lastPlanningToAllMs = nowMs;
    const receivers = isToAll ? this.#members.listAgents() : this.#members.listCandidates(rank);
    this.#socket.send({ kind: 'planning', group, rank }, receivers);
  }

  /** Looks for the agents of the group that this one must know. */
  #searchMembers(status: RankStatus): void {
    const { group, rank, size } = status;
    const isComplete = this.#members.isComplete(rank, size);
    const contacts = this.#search.takeContacts(this.#ownAgent, isComplete);
    if (contacts.length === 0) return;
    // This agent may be one of those that introduce the members of its group.
    this.#directory.register({ agent: this.#ownAgent, rank }, group, []);
    this.#sendStatusTo(status, contacts, { isIncomplete: true, wantsMembers: true });
  }

  #sendStatusTo(
    status: RankStatus,
    receivers: Iterable<string>,
    { isIncomplete = false, wantsMembers = false } = {},
  ): void {
    const isPlanning = this.#members.electPlanner(status.rank) === status.rank;
    const message = { kind: 'status', status, isPlanning, isIncomplete, wantsMembers } as const;
    this.#socket.send(message, receivers);
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
      () => this.#createLoad(status),
      () => [status, ...this.#members.listStatuses()],
    );
  }

  #createLoad({ group, epoch, isOpen, passMs, rank, size }: RankStatus) {
    const isMapped = size === 1 || this.#planner?.hasSuitableMap() === true;
    const reporters = this.#members.listReporters(rank, this.#ownAgent);
    return { report: { group, epoch, isOpen, passMs, isMapped }, reporters };
  }

  /** Sends the load of the own rank. */
  #sendOwnLoad(status: RankStatus, receivers: readonly string[]): void {
    if (receivers.length === 0) return;
    const load = this.#createLoad(status);
    this.#socket.send({ kind: 'load', ...load, ...encodeRankLoads([status]) }, receivers);
  }

  /** Tells a new subscriber at once what this agent knows; later loads come from the planner. */
  #handleSubscription(address: string): void {
    const status = this.#status;
    if (!this.#reporter.subscribe(address) || status === null) return;
    if (!this.#isPlanning) {
      this.#sendOwnLoad(status, [address]);
      return;
    }
    const ranks = encodeRankLoads([status, ...this.#members.listStatuses()]);
    this.#socket.send({ kind: 'load', ...this.#createLoad(status), ...ranks }, [address]);
  }

  async #forwardCounts(status: RankStatus, planner: number): Promise<void> {
    const turn = await this.#countsTurn.advance(status);
    if (turn.err) {
      this.#log.warn('could not read the expert counts; trying again', { cause: turn.val.message });
      return;
    }
    const increases = turn.val;
    if (increases === null) return;
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
      if (!isElected) {
        planner.invalidateMap();
        // Tells the entries who reports from now on.
        this.#reporter.requestReport();
        this.#sendLoad(status);
      }
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
      const agents = new Set([this.#ownAgent]);
      for (const { address } of targets.val) {
        agents.add(`${splitAddress(address).host}:${this.#options.peerPort}`);
      }
      this.#agents = [...agents];
      this.#search.setAgents(this.#agents);
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
    const change = { epoch, step, version };
    if (!isHeld || !this.#armGuard.begin(change)) {
      this.#socket.send({ kind: 'answer', id, answer: 'refused' }, [from]);
      return;
    }
    if (this.#plannerRank?.address !== rankAddress) {
      this.#plannerRank = { address: rankAddress, rank: this.#options.openRank(rankAddress) };
    }
    const answer = await this.#plannerRank.rank.order({ operation: 'arm', version, step }, epoch);
    this.#armGuard.finish(change, answer);
    this.#socket.send({ kind: 'answer', id, answer }, [from]);
  }

  /** Tells an agent which others of its group this one knows. */
  #sendMembers({ group, rank }: RankStatus, agent: string): void {
    const known = group === this.#status?.group ? this.#members.listMembers() : [];
    const agents = this.#directory.register({ agent, rank }, group, known);
    if (agents.length > 0) this.#socket.send({ kind: 'members', group, agents }, [agent]);
  }

  /** Exchanges statuses with the members that another agent named. */
  #contactMembers(
    status: RankStatus,
    { group, agents }: Extract<PeerMessage, { kind: 'members' }>,
  ): void {
    if (group !== status.group) return;
    const contacts: string[] = [];
    for (const agent of agents) {
      if (agent === this.#ownAgent || !this.#members.isSilent(agent)) continue;
      if (this.#search.tryContact(agent)) contacts.push(agent);
    }
    if (contacts.length > 0) this.#sendStatusTo(status, contacts, { isIncomplete: true });
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
      const { report, ranks, paces, reporters, receivers } = message;
      this.#socket.send({ kind: 'load', report, ranks, paces, reporters }, receivers);
    }
    if (message.kind === 'map_relay') this.#relayMapOrders(message, from);
    if (message.kind === 'planner_arm') {
      void tryAsyncStep(this.#log, 'arm the rank of a planner', () =>
        this.#armPlanner(message, from),
      );
    }
    if (message.kind === 'status' && message.wantsMembers) this.#sendMembers(message.status, from);
    if (this.#status === null) return;
    if (message.kind === 'members') this.#contactMembers(this.#status, message);
    if (message.kind === 'status') {
      const { status } = message;
      if (status.group !== this.#status.group) return;
      // An agent that has just started gets the status of this rank at once.
      if (message.isIncomplete || this.#members.getAgent(status.rank) !== from) {
        this.#sendStatusTo(this.#status, [from]);
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

/** Returns whether the rank has requests. */
function hasRequests({ active, queued }: RankStatus): boolean {
  return active + queued > 0;
}
