import { splitAddress, type EngineModel, type RankStatus } from '@limpetbay/core';
import { PeerSocket, decodeUnits, encodeUnits, type PeerMessage } from '@limpetbay/rpc';
import type { Log } from '@limpetbay/runtime';
import { MapPlanner } from '../planner/MapPlanner.js';
import { OrderChannel } from '../planner/OrderChannel.js';
import type { PlannerRank } from '../planner/PlannerRank.js';
import { RemoteRank } from '../planner/RemoteRank.js';
import type { RankWire } from '../ports/RankWire.js';
import { AgentServer } from './AgentServer.js';
import { GroupMembers } from './GroupMembers.js';
import { PassClock } from './PassClock.js';
import type { RankAgentOptions } from './RankAgentOptions.js';

/** Interval of readings of the rank; a pass takes about half of it, milliseconds. */
const TICK_MS = 100;

/** The same while a map is loaded or switched, milliseconds. */
const SWITCH_TICK_MS = 25;

/** The same while an open group begins no passes, milliseconds. */
const IDLE_TICK_MS = 800;

/** A group that formed less than this ago is watched like a busy one, milliseconds. */
const NEW_GROUP_MS = 3000;

/** Interval at which the targets of the service are read, milliseconds. */
const READ_INTERVAL_MS = 5000;

/** The same until all members of the group are known, milliseconds. */
const FIRST_READ_INTERVAL_MS = 600;

/** Interval at which the model of the service is read; it hardly ever changes, milliseconds. */
const MODEL_INTERVAL_MS = 30_000;

/** The same until it has been read once, milliseconds. */
const FIRST_MODEL_INTERVAL_MS = 600;

/** A subscription ends after this time without a renewal, milliseconds. */
const SUBSCRIPTION_MS = 3000;

/** All agents of the service hear of this rank at this interval, milliseconds. */
const HELLO_INTERVAL_MS = 2000;

/** The same until all members of the group are known, milliseconds. */
const FIRST_HELLO_INTERVAL_MS = 500;

/** The group hears of its planner at this interval, milliseconds. */
const PLANNER_INTERVAL_MS = 250;

interface OpenRank {
  readonly address: string;
  /** The rank itself, for what its agent does not answer. */
  readonly direct: RankWire;
  readonly remote: RemoteRank;
}

/** The process beside one rank: it reads the rank, carries out orders and may plan the maps. */
export class RankAgent {
  readonly #options: RankAgentOptions;

  readonly #log: Log;

  readonly #rank: RankWire;

  readonly #socket: PeerSocket;

  readonly #server: AgentServer;

  readonly #members: GroupMembers;

  readonly #orders: OrderChannel;

  readonly #passes = new PassClock();

  /** Other ranks of the group, by the address of the agent beside them. */
  readonly #remotes = new Map<string, OpenRank>();

  /** Times until which entries want status messages, by address. */
  readonly #subscribers = new Map<string, number>();

  /** Agents of the service, by address. */
  #peers: string[] = [];

  #planner: MapPlanner | null = null;

  /** Undefined until the model of the service has been read. */
  #experts: EngineModel['experts'] | undefined;

  /** Group and rank of the last status. */
  #place: string | null = null;

  #status: RankStatus | null = null;

  #counts: readonly number[] | null = null;

  #lastCountsMs = -Infinity;

  #lastReadMs = -Infinity;

  #nextModelMs = -Infinity;

  #lastHelloMs = -Infinity;

  #lastPlannerMs = -Infinity;

  /** When the group was last seen to form or to break. */
  #changedMs = -Infinity;

  #isPlanning = false;

  #isStopped = false;

  constructor(options: RankAgentOptions) {
    this.#options = options;
    this.#log = options.createLog('agent');
    this.#rank = options.openRank(options.rankAddress);
    this.#members = new GroupMembers(options.clock);
    this.#socket = new PeerSocket({
      host: options.host,
      port: options.peerPort,
      onMessage: (message, from) => this.#acceptMessage(message, from),
      onError: (cause) => this.#log.warn('datagram lost', { cause }),
    });
    this.#orders = new OrderChannel(options.clock, (message, agent) =>
      this.#socket.send(message, [agent]),
    );
    this.#server = new AgentServer({
      host: options.host,
      port: options.peerPort,
      rank: this.#rank,
      readStatus: () => this.#readStatus(),
    });
  }

  async start(): Promise<void> {
    await this.#socket.start();
    await this.#server.start();
    this.#log.report('started', { rank: this.#options.rankAddress });
    void this.#run();
  }

  stop(): void {
    this.#isStopped = true;
    this.#closeRemotes();
    this.#server.close();
    this.#socket.close();
    this.#log.report('stopped');
  }

  async #run(): Promise<void> {
    while (!this.#isStopped) {
      await this.#tick();
      await new Promise((resolve) => {
        setTimeout(resolve, this.#chooseTick());
      });
    }
  }

  #chooseTick(): number {
    if (this.#planner?.isSwitching() === true || isSwitching(this.#status)) return SWITCH_TICK_MS;
    if (this.#status === null) return IDLE_TICK_MS;
    const { isOpen, passMs } = this.#status;
    const isNew = this.#options.clock.getNow() - this.#changedMs < NEW_GROUP_MS;
    return isOpen && !isNew && passMs === 0 ? IDLE_TICK_MS : TICK_MS;
  }

  async #tick(): Promise<void> {
    const nowMs = this.#options.clock.getNow();
    const status = await this.#readStatus();
    if (status === null || this.#isStopped) return;
    const intervalMs = this.#isComplete(status) ? READ_INTERVAL_MS : FIRST_READ_INTERVAL_MS;
    if (nowMs - this.#lastReadMs >= intervalMs) {
      this.#lastReadMs = nowMs;
      void this.#readTargets();
    }
    if (nowMs >= this.#nextModelMs) {
      this.#nextModelMs = nowMs + FIRST_MODEL_INTERVAL_MS;
      void this.#readModel();
    }
    const planner = this.#members.electPlanner(status.rank);
    this.#sendStatus(status, planner, nowMs);
    const isIntervalOver = nowMs - this.#lastCountsMs >= TICK_MS;
    if (isIntervalOver) {
      this.#lastCountsMs = nowMs;
      await this.#forwardCounts(status, planner);
      if (planner === status.rank) this.#sendLoad(status);
    }
    this.#plan(status, planner, isIntervalOver);
  }

  /** Tells whether the agents of all ranks of the group are known. */
  #isComplete({ size }: RankStatus): boolean {
    return this.#members.count() >= size - 1;
  }

  async #readStatus(): Promise<RankStatus | null> {
    const read = await this.#rank.readStatus();
    if (read.err) {
      if (this.#status !== null) {
        this.#log.warn('rank does not answer', { cause: read.val.message });
      }
      this.#status = null;
      return null;
    }
    const passMs = this.#passes.accept(read.val.step, this.#options.clock.getNow());
    const status = { ...read.val, passMs };
    this.#adoptPlace(status);
    if (this.#status?.epoch !== status.epoch || this.#status.isOpen !== status.isOpen) {
      this.#log.report('group seen', {
        group: status.group,
        epoch: status.epoch,
        rank: status.rank,
        isOpen: status.isOpen,
      });
      this.#changedMs = this.#options.clock.getNow();
      this.#sendReport(status, [status], this.#listSubscribers());
    }
    this.#status = status;
    this.#getPlanner(status.rank).acceptStatus(status);
    return status;
  }

  /** Forgets the group of an earlier life of the rank, which may be another rank now. */
  #adoptPlace({ group, rank }: RankStatus): void {
    const place = `${group}/${rank}`;
    if (place === this.#place) return;
    if (this.#place !== null) {
      this.#log.report('rank has another place', { was: this.#place, place });
    }
    this.#place = place;
    this.#members.clear();
    this.#closeRemotes();
    this.#planner = null;
    this.#isPlanning = false;
    this.#counts = null;
    this.#lastReadMs = -Infinity;
  }

  #sendStatus(status: RankStatus, planner: number, nowMs: number): void {
    const isPlanning = planner === status.rank;
    const receivers = new Set<string>();
    const agent = this.#members.getAgent(planner);
    if (agent !== null) receivers.add(agent);
    if (isPlanning && nowMs - this.#lastPlannerMs >= PLANNER_INTERVAL_MS) {
      this.#lastPlannerMs = nowMs;
      for (const member of this.#members.listAgents()) receivers.add(member);
    }
    const helloMs = this.#isComplete(status) ? HELLO_INTERVAL_MS : FIRST_HELLO_INTERVAL_MS;
    if (nowMs - this.#lastHelloMs >= helloMs) {
      this.#lastHelloMs = nowMs;
      for (const peer of this.#peers) receivers.add(peer);
    }
    this.#socket.send({ kind: 'status', status, isPlanning }, receivers);
  }

  #sendLoad(status: RankStatus): void {
    const ranks = [status, ...this.#members.listStatuses()];
    this.#sendReport(status, ranks, this.#listSubscribers());
  }

  #listSubscribers(): string[] {
    const nowMs = this.#options.clock.getNow();
    const receivers: string[] = [];
    for (const [address, untilMs] of this.#subscribers) {
      if (untilMs < nowMs) this.#subscribers.delete(address);
      else receivers.push(address);
    }
    return receivers;
  }

  #sendReport(
    { group, epoch, isOpen, passMs, size }: RankStatus,
    statuses: readonly RankStatus[],
    receivers: readonly string[],
  ): void {
    if (receivers.length === 0) return;
    const ranks = statuses.map(({ address, active, queued }) => ({ address, active, queued }));
    const isMapped = size === 1 || this.#planner?.isMapped() === true;
    const report = { group, epoch, isOpen, passMs, isMapped, ranks };
    this.#socket.send({ kind: 'load', report }, receivers);
  }

  /** A new subscriber learns the state of this rank at once; loads come from the planner. */
  #acceptSubscriber(address: string): void {
    const nowMs = this.#options.clock.getNow();
    const isNew = (this.#subscribers.get(address) ?? -Infinity) < nowMs;
    this.#subscribers.set(address, nowMs + SUBSCRIPTION_MS);
    if (isNew && this.#status !== null) this.#sendReport(this.#status, [this.#status], [address]);
  }

  async #forwardCounts(status: RankStatus, planner: number): Promise<void> {
    const read = await this.#rank.readCounts();
    if (read.err) {
      this.#log.warn('counts not read', { cause: read.val.message });
      return;
    }
    const { counts } = read.val;
    const known = this.#counts;
    this.#counts = counts;
    if (known === null || known.length !== counts.length) return;
    const chosen = counts.map((count, at) => count - (known[at] ?? 0));
    // A rank that has restarted counts from 0 again.
    if (chosen.some((count) => count < 0)) return;
    if (planner === status.rank) this.#planner?.acceptCounts(chosen);
    else {
      const agent = this.#members.getAgent(planner);
      if (agent === null) return;
      const { group, epoch, rank } = status;
      this.#socket.send({ kind: 'counts', group, epoch, rank, ...encodeUnits(chosen) }, [agent]);
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
      if (!isElected) planner.forget();
    }
    if (isElected && isIntervalOver) planner.closeInterval();
    // A switch that has begun is finished by the process that holds the pass.
    if (isElected || planner.isSwitching()) planner.advance();
  }

  #getPlanner(self: number): MapPlanner {
    if (this.#planner !== null) return this.#planner;
    const planner = new MapPlanner({
      clock: this.#options.clock,
      log: this.#options.createLog('planner'),
      metrics: this.#options.metrics,
      self,
      getRank: (rank) => this.#openRank(rank, self),
    });
    if (this.#experts !== undefined) planner.setModel(this.#experts);
    this.#planner = planner;
    return planner;
  }

  #openRank(rank: number, self: number): PlannerRank | null {
    if (rank === self) return this.#wrapRank(this.#rank, this.#rank);
    const agent = this.#members.getAgent(rank);
    const address = this.#members.getRankAddress(rank);
    if (agent === null || address === null) return null;
    const known = this.#remotes.get(agent);
    if (known?.address === address) return this.#wrapRank(known.remote, known.direct);
    known?.remote.close();
    const direct = this.#options.openRank(address);
    const remote = new RemoteRank({
      clock: this.#options.clock,
      agentAddress: agent,
      direct,
      onStatus: (status) => this.#planner?.acceptStatus(status),
      sendOrder: (to, order, epoch) => this.#orders.send(to, order, epoch),
    });
    this.#remotes.set(agent, { address, direct, remote });
    return this.#wrapRank(remote, direct);
  }

  #closeRemotes(): void {
    for (const { remote } of this.#remotes.values()) remote.close();
    this.#remotes.clear();
  }

  #wrapRank(rank: Pick<RankWire, 'order' | 'readHeld'>, direct: RankWire): PlannerRank {
    return {
      order: (order, epoch) => rank.order(order, epoch),
      readHeld: async () => {
        const held = await rank.readHeld();
        if (held.ok) return held.val;
        this.#log.warn('experts of a rank not read', { cause: held.val.message });
        return null;
      },
      pollStatus: async () => {
        const status = await direct.readStatus();
        if (status.ok) this.#planner?.acceptStatus(status.val);
        else this.#log.warn('status of a rank not read', { cause: status.val.message });
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
      if (this.#members.count() === 0) this.#lastHelloMs = -Infinity;
    } else this.#log.warn('targets not read', { cause: targets.val.message });
  }

  async #readModel(): Promise<void> {
    const model = await this.#options.readModel();
    const nextMs = this.#options.clock.getNow() + MODEL_INTERVAL_MS;
    if (model.err) {
      this.#log.warn('model not read', { cause: model.val.message });
      // An outage of the store does not outdate the model that is known.
      if (this.#experts !== undefined) this.#nextModelMs = nextMs;
      return;
    }
    if (model.val === null) return;
    this.#nextModelMs = nextMs;
    this.#experts = model.val.experts;
    this.#planner?.setModel(model.val.experts);
  }

  #introduce(agent: string): void {
    if (this.#status === null) return;
    const isPlanning = this.#isPlanning;
    this.#socket.send({ kind: 'status', status: this.#status, isPlanning }, [agent]);
  }

  async #carryOut(message: Extract<PeerMessage, { kind: 'order' }>, from: string): Promise<void> {
    const answer = await this.#rank.order(message.order, message.epoch);
    this.#socket.send({ kind: 'answer', id: message.id, answer }, [from]);
  }

  #acceptMessage(message: PeerMessage, from: string): void {
    if (message.kind === 'subscribe') {
      this.#acceptSubscriber(from);
      return;
    }
    if (message.kind === 'answer') this.#orders.acceptAnswer(message.id, message.answer);
    if (message.kind === 'order') void this.#carryOut(message, from);
    if (this.#status === null) return;
    if (message.kind === 'status') {
      const { status } = message;
      if (status.group !== this.#status.group) return;
      // An agent that has just started learns of its group at once.
      if (this.#members.getAgent(status.rank) !== from) this.#introduce(from);
      this.#members.accept(status, from, message.isPlanning);
      this.#planner?.acceptStatus(status);
      return;
    }
    if (message.kind !== 'counts') return;
    const { group, epoch, scale, units } = message;
    if (group !== this.#status.group || epoch !== this.#status.epoch) return;
    this.#planner?.acceptCounts(decodeUnits(units, scale));
  }
}

/** Tells whether the rank loads a map or is about to switch to one. */
function isSwitching(status: RankStatus | null): boolean {
  if (status === null) return false;
  return status.isBusy || status.armed !== null || status.held !== null;
}
