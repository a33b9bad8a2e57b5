import {
  BodyBudget,
  GroupStates,
  Ok,
  SeededRandom,
  fail,
  type DirectTarget,
  type RankStatus,
} from '@limpetbay/core';
import { ReportSubscriptions } from '@limpetbay/gateway';
import { RankAgent, SocketNetwork, type RankControl } from '@limpetbay/rankagent';
import { PeerSocket, decodeLoads } from '@limpetbay/rpc';
import { MetricRegistry, RealClock, createAddressBinder, type Log } from '@limpetbay/runtime';
import type { StandInRank } from './StandInRank.js';

interface FleetShape {
  readonly ranks: number;
  readonly entries: number;
  /** Rank whose agent is a process of its own. */
  readonly measuredRank: number;
}

const PEER_PORT = 7340;

const RANK_PORT = 8000;

const LINK_BITS_PER_SECOND = 4_200_000;

const BODY_BUDGET_BYTES = 33_554_432;

const ENTRY_TICK_MS = 250;

const ADDRESSES_PER_BLOCK = 200;

const NOOP_LOG: Log = { report: () => {}, warn: () => {}, alert: () => {} };

/** The other agents of a group, and the entries that subscribe to its loads, in this process. */
export class StandInFleet {
  readonly #shape: FleetShape;

  readonly #clock = new RealClock();

  readonly #agents: RankAgent[] = [];

  readonly #sockets: PeerSocket[] = [];

  readonly #timers: NodeJS.Timeout[] = [];

  constructor(shape: FleetShape) {
    this.#shape = shape;
  }

  /** Starts all agents but the measured one, and the entries. @param rank the measured rank */
  async start(rank: StandInRank): Promise<void> {
    const { ranks, entries, measuredRank } = this.#shape;
    for (let index = 0; index < ranks; index += 1) {
      if (index !== measuredRank) await this.#startAgent(index, rank);
    }
    for (let index = 0; index < entries; index += 1) await this.#startEntry(index);
  }

  close(): void {
    for (const timer of this.#timers) clearInterval(timer);
    for (const agent of this.#agents) agent.stop();
    for (const socket of this.#sockets) socket.close();
  }

  getAgentHost(rank: number): string {
    return `127.1.${Math.floor(rank / ADDRESSES_PER_BLOCK)}.${(rank % ADDRESSES_PER_BLOCK) + 1}`;
  }

  getRankAddress(rank: number): string {
    return `${this.getAgentHost(rank)}:${RANK_PORT}`;
  }

  /** Host of an entry; the last ones are free for a measured process. */
  getEntryHost(index: number): string {
    return `127.2.${Math.floor(index / ADDRESSES_PER_BLOCK)}.${(index % ADDRESSES_PER_BLOCK) + 1}`;
  }

  async #startAgent(index: number, measured: StandInRank): Promise<void> {
    const clock = this.#clock;
    const { ranks } = this.#shape;
    const host = this.getAgentHost(index);
    const address = this.getRankAddress(index);
    const metrics = new MetricRegistry();
    const targets = Array.from({ length: ranks }, (_, rank) => ({
      address: this.getRankAddress(rank),
    }));
    const control: RankControl = {
      readStatus: () => {
        const status: RankStatus = {
          ...measured.readStatus(),
          ...{ address, rank: index, group: 'group-1', epoch: 1, isOpen: true },
          ...{ kvUsed: 100, kvTotal: 1000, map: 0, prepared: null, armed: null, held: null },
          ...{ isBusy: false, passMs: 0 },
        };
        return Promise.resolve(Ok(status));
      },
      readCounts: () => Promise.resolve(fail('outcome_unknown', 'not served')),
      readHeld: () => Promise.resolve(fail('outcome_unknown', 'not served')),
      order: () => Promise.resolve('refused'),
    };
    const agent = new RankAgent({
      clock,
      metrics,
      createLog: () => NOOP_LOG,
      network: new SocketNetwork({
        clock,
        binder: createAddressBinder(clock, NOOP_LOG, metrics),
        host,
        port: PEER_PORT,
        bodyBudget: new BodyBudget(BODY_BUDGET_BYTES, clock),
      }),
      peerPort: PEER_PORT,
      linkBitsPerSecond: LINK_BITS_PER_SECOND,
      rankAddress: address,
      openRank: () => control,
      listTargets: () => Promise.resolve(Ok(targets as DirectTarget[])),
      readModel: () => Promise.resolve(Ok(null)),
    });
    this.#agents.push(agent);
    await agent.start();
  }

  async #startEntry(index: number): Promise<void> {
    const clock = this.#clock;
    const host = this.getEntryHost(index);
    const states = new GroupStates(clock);
    const socket = new PeerSocket({
      host,
      port: PEER_PORT,
      onMessage: (message) => {
        if (message.kind !== 'load') return;
        const { report, reporters } = message;
        const ranks = decodeLoads(message.ranks);
        states.handleReport({ ...report, ranks });
        subscriptions.handleReport(report.group, reporters, ranks.length > 1);
      },
      onInvalid: () => {},
      onError: () => {},
    });
    const subscriptions = new ReportSubscriptions({
      clock,
      random: new SeededRandom(index + 1),
      ownName: host,
      subscribe: (agents) => socket.send({ kind: 'subscribe' }, agents),
    });
    await socket.bind();
    this.#sockets.push(socket);
    const advance = (): void => {
      const overdue: string[] = [];
      for (let rank = 0; rank < this.#shape.ranks; rank += 1) {
        if (!states.isReportOverdue(this.getRankAddress(rank))) continue;
        overdue.push(`${this.getAgentHost(rank)}:${PEER_PORT}`);
      }
      subscriptions.advance(overdue);
    };
    this.#timers.push(setInterval(advance, ENTRY_TICK_MS));
  }
}
