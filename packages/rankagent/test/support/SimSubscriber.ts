import { GroupStates, SeededRandom, type Clock } from '@limpetbay/core';
import { ReportSubscriptions } from '@limpetbay/gateway';
import { decodeLoads, type PeerMessage } from '@limpetbay/rpc';
import type { PeerTransport } from '../../src/index.js';
import type { SimHost } from './SimHost.js';

/** Interval of the periodic tasks of an entry, milliseconds. */
const TICK_MS = 250;

/** The part of an entry that receives the load reports of a group. */
export class SimSubscriber {
  /** Times at which reports of the planner arrived, milliseconds. */
  readonly reportTimesMs: number[] = [];

  readonly #clock: Clock;

  readonly #states: GroupStates;

  readonly #transport: PeerTransport;

  readonly #subscriptions: ReportSubscriptions;

  /** Agents by the addresses of their ranks. */
  readonly #agents: ReadonlyMap<string, string>;

  constructor(clock: Clock, host: SimHost, agents: ReadonlyMap<string, string>, seed: number) {
    this.#clock = clock;
    this.#agents = agents;
    this.#states = new GroupStates(clock);
    this.#transport = host.openTransport({
      onMessage: (message) => this.#handleMessage(message),
      onTraffic: () => {},
      onInvalid: () => {},
      onError: () => {},
    });
    this.#subscriptions = new ReportSubscriptions({
      clock,
      random: new SeededRandom(seed),
      ownName: host.address,
      subscribe: (receivers) => this.#transport.send({ kind: 'subscribe' }, receivers),
    });
  }

  start(): void {
    const overdue: string[] = [];
    for (const [address, agent] of this.#agents) {
      if (this.#states.isReportOverdue(address)) overdue.push(agent);
    }
    this.#subscriptions.advance(overdue);
    setTimeout(() => this.start(), TICK_MS);
  }

  #handleMessage(message: PeerMessage): void {
    if (message.kind !== 'load') return;
    const ranks = decodeLoads(message.ranks);
    const isOfPlanner = ranks.length > 1;
    this.#states.handleReport({ ...message.report, ranks });
    this.#subscriptions.handleReport(message.report.group, message.reporters, isOfPlanner);
    if (isOfPlanner) this.reportTimesMs.push(this.#clock.getNow());
  }
}
