import { scoreRelay, type Clock, type RandomSource } from '@limpetbay/core';

interface ReportSubscriptionsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Name of this entry. */
  readonly ownName: string;
  /** Asks agents for reports. @param agents `IP:PORT` of the receivers */
  readonly subscribe: (agents: Iterable<string>) => void;
}

interface ReportingGroup {
  /** Agents that report for the group or may soon, the planner first. */
  readonly reporters: readonly string[];
  /** When any report of the group arrived. */
  readonly heardMs: number;
  /** When one of its planner arrived. */
  readonly plannerHeardMs: number;
}

/** Longest interval of renewals; agents keep a subscription three times as long, milliseconds. */
const RENEW_INTERVAL_MS = 5000;

/** By how much shorter the interval of an entry may be, so that entries do not renew together. */
const RENEW_SPREAD_MS = 1000;

/** A planner that has been silent for so long may have no subscription of this entry, milliseconds. */
const SILENT_PLANNER_MS = 1200;

/** A group that has been silent for so long is searched for among all agents, milliseconds. */
const SILENT_GROUP_MS = 30_000;

/** Agents that are asked at once for the reports that are overdue, at least and as a share. */
const MIN_SEARCHED_AGENTS = 8;
const SEARCHED_SHARE = 1 / 12;

/**
 * Subscriptions of an entry to the load reports of model groups. It subscribes to the agents that
 * the reports name, which are few, and asks others only while reports are overdue: their answers
 * name the planner of their group.
 */
export class ReportSubscriptions {
  readonly #options: ReportSubscriptionsOptions;

  readonly #groups = new Map<string, ReportingGroup>();

  readonly #renewIntervalMs: number;

  #renewMs = -Infinity;

  constructor(options: ReportSubscriptionsOptions) {
    this.#options = options;
    const spreadMs = scoreRelay('renew', options.ownName) % RENEW_SPREAD_MS;
    this.#renewIntervalMs = RENEW_INTERVAL_MS - spreadMs;
  }

  /**
   * Records who reports for a group, and subscribes to agents that are new among them.
   *
   * @param isOfPlanner whether the planner sent the report, which then names several ranks
   */
  handleReport(group: string, reporters: readonly string[], isOfPlanner: boolean): void {
    if (reporters.length === 0) return;
    const { clock, subscribe } = this.#options;
    const heardMs = clock.getNow();
    const known = this.#groups.get(group);
    const plannerHeardMs = isOfPlanner ? heardMs : (known?.plannerHeardMs ?? -Infinity);
    this.#groups.set(group, { reporters, heardMs, plannerHeardMs });
    const added = reporters.filter((agent) => known?.reporters.includes(agent) !== true);
    if (added.length > 0) subscribe(added);
  }

  /**
   * Renews what is due and searches for overdue reports; call it a few times a second.
   *
   * @param overdue agents of the ranks whose reports are overdue
   */
  advance(overdue: readonly string[]): void {
    const { clock, subscribe } = this.#options;
    const nowMs = clock.getNow();
    const isRenewalDue = nowMs >= this.#renewMs;
    if (isRenewalDue) this.#renewMs = nowMs + this.#renewIntervalMs;
    const receivers = new Set(this.#sample(overdue));
    for (const [group, { reporters, heardMs, plannerHeardMs }] of this.#groups) {
      const isSearched = overdue.length > 0 && nowMs - plannerHeardMs > SILENT_PLANNER_MS;
      if (nowMs - heardMs > SILENT_GROUP_MS) this.#groups.delete(group);
      else if (isRenewalDue || isSearched) for (const agent of reporters) receivers.add(agent);
    }
    subscribe(receivers);
  }

  /** Draws the agents that are asked; those of the same group would all name the same planner. */
  #sample(agents: readonly string[]): string[] {
    const count = Math.max(MIN_SEARCHED_AGENTS, Math.ceil(agents.length * SEARCHED_SHARE));
    if (agents.length <= count) return [...agents];
    const remaining = [...agents];
    const drawn: string[] = [];
    while (drawn.length < count) {
      const index = Math.floor(this.#options.random.next() * remaining.length);
      drawn.push(...remaining.splice(index, 1));
    }
    return drawn;
  }
}
