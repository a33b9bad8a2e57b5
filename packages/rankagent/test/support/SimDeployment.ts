import {
  Ok,
  fail,
  type Clock,
  type DirectTarget,
  type EngineModel,
  type OrderAnswer,
  type RankStatus,
} from '@limpetbay/core';
import { MetricRegistry, type Log } from '@limpetbay/runtime';
import { RankAgent, type RankControl } from '../../src/index.js';
import type { OrderFaults } from './OrderFaults.js';
import { SimExpertGroup } from './SimExpertGroup.js';
import type { SimHost } from './SimHost.js';
import { SimNetwork } from './SimNetwork.js';
import { SimSubscriber } from './SimSubscriber.js';

interface DeploymentShape {
  readonly ranks: number;
  readonly sets: number;
  readonly experts: number;
  readonly slotsPerRank: number;
  /** Targets of other groups of the service. */
  readonly otherTargets: number;
  readonly entries: number;
  readonly agentBitsPerSecond: number;
  readonly entryBitsPerSecond: number;
  /** Time of a pass with evenly loaded ranks, milliseconds. */
  readonly evenPassMs: number;
  /** Time to copy one expert to a rank, milliseconds. */
  readonly copyMs: number;
  /** Whether the ranks have no requests until `beginRequests`. */
  readonly isIdle?: boolean;
}

/** Whether the process of an agent runs. */
interface Life {
  isRunning: boolean;
}

const PEER_PORT = 7340;

const ENGINE_PORT = 8000;

/** Time limits of calls to the engine of another machine, milliseconds. */
const DIRECT_ORDER_TIMEOUT_MS = 60;
const DIRECT_PREPARE_TIMEOUT_MS = 400;
const DIRECT_READ_TIMEOUT_MS = 120;

const NOOP_LOG: Log = { report: () => {}, warn: () => {}, alert: () => {} };

/**
 * One group with its agents and the entries that subscribe to its load reports, on a simulated
 * network. `clock` must be the time of the timers.
 */
export class SimDeployment {
  readonly network: SimNetwork;

  readonly group: SimExpertGroup;

  readonly agentHosts: SimHost[] = [];

  readonly metrics = new MetricRegistry();

  readonly subscribers: SimSubscriber[] = [];

  /** Decides when the ranks carry out and answer orders; null for at once. */
  orderFaults: Pick<OrderFaults, 'carryOut'> | null = null;

  /** Reads of the engines by their agents. */
  readonly reads = { status: 0, counts: 0 };

  /** Whether the ranks have requests; without, the group begins no passes. */
  #hasRequests = false;

  readonly #clock: Clock;

  readonly #shape: DeploymentShape;

  readonly #agents = new Map<number, { readonly agent: RankAgent; readonly life: Life }>();

  constructor(clock: Clock, shape: DeploymentShape, seed: number) {
    this.#clock = clock;
    this.#shape = shape;
    this.network = new SimNetwork(clock);
    this.group = new SimExpertGroup(clock, { ...shape, size: shape.ranks }, seed);
  }

  async start(): Promise<void> {
    for (let rank = 0; rank < this.#shape.ranks; rank += 1) {
      const address = `10.0.0.${rank + 1}`;
      const host = this.network.addHost(`${address}:${PEER_PORT}`, this.#shape.agentBitsPerSecond);
      this.agentHosts.push(host);
    }
    for (let entry = 0; entry < this.#shape.entries; entry += 1) this.#startEntry(entry);
    if (this.#shape.isIdle !== true) this.beginRequests();
    for (const rank of this.agentHosts.keys()) await this.startAgent(rank);
  }

  beginRequests(): void {
    this.#hasRequests = true;
    this.group.start();
  }

  /** Lets the requests pause or continue after `beginRequests`; without them no pass begins. */
  setWork(hasWork: boolean): void {
    this.#hasRequests = hasWork;
    this.group.group.hasWork = hasWork;
  }

  /** Ends the agent of a rank without a farewell; the rank goes on. */
  stopAgent(rank: number): void {
    const running = this.#agents.get(rank);
    if (running === undefined) return;
    running.life.isRunning = false;
    running.agent.stop();
  }

  stop(): void {
    for (const rank of this.#agents.keys()) this.stopAgent(rank);
  }

  /** Starts the agent of a rank, also instead of one that was stopped. */
  async startAgent(rank: number): Promise<void> {
    const { ranks, sets, experts, slotsPerRank, otherTargets } = this.#shape;
    const host = this.agentHosts[rank] as SimHost;
    const targets = Array.from({ length: ranks + otherTargets }, (_, index) => ({
      address: getEngineAddress(index),
    }));
    const life = { isRunning: true };
    const agent = new RankAgent({
      clock: this.#clock,
      metrics: this.metrics,
      createLog: () => NOOP_LOG,
      network: host,
      peerPort: PEER_PORT,
      linkBitsPerSecond: this.#shape.agentBitsPerSecond,
      rankAddress: getEngineAddress(rank),
      openRank: (address) => stopWith(life, this.#openRank(host, address)),
      listTargets: () => Promise.resolve(Ok(targets as DirectTarget[])),
      readModel: () => Promise.resolve(Ok(createModel(sets, experts, slotsPerRank))),
    });
    this.#agents.set(rank, { agent, life });
    await agent.start();
  }

  #startEntry(entry: number): void {
    const address = `10.0.1.${entry + 1}:${PEER_PORT}`;
    const host = this.network.addHost(address, this.#shape.entryBitsPerSecond);
    const agents = new Map(
      this.agentHosts.map((agent, rank) => [getEngineAddress(rank), agent.address]),
    );
    const subscriber = new SimSubscriber(this.#clock, host, agents, entry + 1);
    this.subscribers.push(subscriber);
    subscriber.start();
  }

  /** Opens the engine of a rank; from another machine every call crosses the network. */
  #openRank(host: SimHost, address: string): RankControl {
    const rank = this.agentHosts.findIndex((_, index) => getEngineAddress(index) === address);
    const owner = this.agentHosts[rank] as SimHost;
    const local = this.#suspendWith(owner, this.#openLocalRank(rank, address));
    if (owner === host) return local;
    return {
      readStatus: () =>
        host.call(owner.address, {}, DIRECT_READ_TIMEOUT_MS, () => local.readStatus()),
      readCounts: () => Promise.resolve(fail('outcome_unknown', 'not read from other machines')),
      readHeld: () => host.call(owner.address, {}, DIRECT_READ_TIMEOUT_MS, () => local.readHeld()),
      order: async (order, epoch) => {
        const timeoutMs =
          order.operation === 'prepare' ? DIRECT_PREPARE_TIMEOUT_MS : DIRECT_ORDER_TIMEOUT_MS;
        const answer = await host.call(owner.address, order, timeoutMs, async () =>
          Ok(await local.order(order, epoch)),
        );
        return answer.ok ? answer.val : 'lost';
      },
    };
  }

  /** Lets the calls of a rank wait while its machine is frozen. */
  #suspendWith(host: SimHost, rank: RankControl): RankControl {
    const suspend = async <Answer>(call: () => Promise<Answer>): Promise<Answer> => {
      await host.waitUntilRunning();
      return call();
    };
    return {
      readStatus: () => suspend(() => rank.readStatus()),
      readCounts: () => suspend(() => rank.readCounts()),
      readHeld: () => suspend(() => rank.readHeld()),
      order: (order, epoch) => suspend(() => rank.order(order, epoch)),
    };
  }

  #openLocalRank(rank: number, address: string): RankControl {
    const { group } = this.group;
    return {
      readStatus: () => {
        this.reads.status += 1;
        const load = this.#hasRequests ? { active: 7, queued: 2 } : { active: 0, queued: 0 };
        const pace = this.group.paces[rank] ?? 1;
        const status: RankStatus = { ...group.readStatus(rank), address, ...load, pace };
        return Promise.resolve(Ok(status));
      },
      readCounts: () => {
        this.reads.counts += 1;
        return Promise.resolve(Ok({ counts: this.group.readCounts(rank) }));
      },
      readHeld: () =>
        Promise.resolve(
          Ok({
            version: group.ranks[rank]?.map ?? 0,
            sets: this.group.experts[rank] ?? [],
          }),
        ),
      order: (order, epoch) => {
        const carryOut = (): OrderAnswer =>
          epoch === group.epoch ? this.group.apply(rank, order) : 'refused';
        return this.orderFaults?.carryOut(rank, order, carryOut) ?? Promise.resolve(carryOut());
      },
    };
  }
}

/** Lets the calls of a process stay without an effect and an answer once it has ended. */
function stopWith(life: Life, rank: RankControl): RankControl {
  const stop = <Answer>(call: () => Promise<Answer>): Promise<Answer> =>
    life.isRunning ? call() : new Promise(() => {});
  return {
    readStatus: () => stop(() => rank.readStatus()),
    readCounts: () => stop(() => rank.readCounts()),
    readHeld: () => stop(() => rank.readHeld()),
    order: (order, epoch) => stop(() => rank.order(order, epoch)),
  };
}

function getEngineAddress(rank: number): string {
  return `10.0.${2 * Math.floor(rank / 200)}.${(rank % 200) + 1}:${ENGINE_PORT}`;
}

function createModel(sets: number, experts: number, slotsPerRank: number): EngineModel {
  return {
    capacity: 7,
    stepMs: 4.55,
    perSequenceMs: 1.09,
    contextMsPerThousand: 0.022,
    prefillTokensPerSecond: 61_400,
    chunkTokens: 512,
    stride: 5,
    kvCapacity: 163_333,
    usualPromptTokens: 800,
    usualAnswerTokens: 95,
    experts: { sets, count: experts, slotsPerRank, spareSlots: 2, copyMs: 37, workShare: 0.85 },
  };
}
