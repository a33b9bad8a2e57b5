import type { Clock, RankStatus } from '@limpetbay/core';
import { encodeRankLoads, type PeerMessage } from '@limpetbay/rpc';
import type { TrafficBudget } from './TrafficBudget.js';

/** A load message without the loads of the ranks. */
type GroupLoad = Pick<Extract<PeerMessage, { kind: 'load' }>, 'report' | 'reporters'>;

interface LoadReporterOptions {
  readonly clock: Clock;
  readonly budget: TrafficBudget;
  readonly send: (message: PeerMessage, addresses: Iterable<string>) => void;
  /** Lists the agents that can forward reports. */
  readonly listRelays: () => readonly string[];
}

/** A subscription ends after this time without a renewal; entries renew them every 5 s, milliseconds. */
const SUBSCRIPTION_TIMEOUT_MS = 16_000;

/** Reports that all subscribers get from the planner itself are at least this far apart, milliseconds. */
const DIRECT_INTERVAL_MS = 100;

/** The same over relays; each report crosses the zones once for each subscriber. */
const RELAYED_INTERVAL_MS = 250;

/** Subscribers that one relay serves. */
const RELAY_RECEIVERS = 8;

/**
 * Sends the loads of a group to the entries that subscribed. Reports that the link of this process
 * cannot carry often enough go over other agents, which take turns so that a failed one costs its
 * receivers only single reports.
 */
export class LoadReporter {
  readonly #options: LoadReporterOptions;

  /** Expiry times of the subscriptions, by address. */
  readonly #subscribers = new Map<string, number>();

  #lastReportMs = -Infinity;

  /** Number of reports over relays since the start. */
  #relayedReports = 0;

  constructor(options: LoadReporterOptions) {
    this.#options = options;
  }

  /** Adds or renews a subscription. @returns whether it is a new one */
  subscribe(address: string): boolean {
    const nowMs = this.#options.clock.getNow();
    const isNew = (this.#subscribers.get(address) ?? -Infinity) < nowMs;
    this.#subscribers.set(address, nowMs + SUBSCRIPTION_TIMEOUT_MS);
    return isNew;
  }

  listSubscribers(): string[] {
    const nowMs = this.#options.clock.getNow();
    const receivers: string[] = [];
    for (const [address, expiresMs] of this.#subscribers) {
      if (expiresMs < nowMs) this.#subscribers.delete(address);
      else receivers.push(address);
    }
    return receivers;
  }

  /** Makes the next report due at once. */
  requestReport(): void {
    this.#lastReportMs = -Infinity;
  }

  /** Sends the loads of all ranks if a report is due. */
  reportGroup(size: number, createLoad: () => GroupLoad, listStatuses: () => RankStatus[]): void {
    const { clock, budget, send } = this.#options;
    const nowMs = clock.getNow();
    const subscribers = this.listSubscribers();
    const directIntervalMs = budget.getReportIntervalMs(size, subscribers.length);
    const isRelayed = directIntervalMs > RELAYED_INTERVAL_MS;
    const intervalMs = isRelayed
      ? this.#getRelayedIntervalMs(size, subscribers.length)
      : Math.max(DIRECT_INTERVAL_MS, directIntervalMs);
    if (subscribers.length === 0 || nowMs - this.#lastReportMs < intervalMs) return;
    this.#lastReportMs = nowMs;
    const message = { ...createLoad(), ...encodeRankLoads(listStatuses()) };
    if (isRelayed) this.#relay(message, subscribers);
    else send({ kind: 'load', ...message }, subscribers);
  }

  #getRelayedIntervalMs(size: number, subscribers: number): number {
    const relays = Math.ceil(subscribers / RELAY_RECEIVERS);
    return Math.max(RELAYED_INTERVAL_MS, this.#options.budget.getReportIntervalMs(size, relays));
  }

  #relay(
    load: GroupLoad & ReturnType<typeof encodeRankLoads>,
    subscribers: readonly string[],
  ): void {
    const { send, listRelays } = this.#options;
    const relays = listRelays();
    this.#relayedReports += 1;
    for (let start = 0; start < subscribers.length; start += RELAY_RECEIVERS) {
      const receivers = subscribers.slice(start, start + RELAY_RECEIVERS);
      const turn = this.#relayedReports * Math.ceil(subscribers.length / RELAY_RECEIVERS);
      const relay = relays[(turn + start / RELAY_RECEIVERS) % relays.length];
      if (relay === undefined) send({ kind: 'load', ...load }, receivers);
      else send({ kind: 'load_relay', ...load, receivers }, [relay]);
    }
  }
}
