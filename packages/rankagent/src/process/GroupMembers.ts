import type { Clock, RankStatus } from '@limpetbay/core';

interface Member {
  readonly status: RankStatus;
  /** `IP:PORT` of the agent. */
  readonly agent: string;
  /** Whether the agent planned when it sent its last status. */
  readonly isPlanning: boolean;
  readonly receivedMs: number;
}

/**
 * The planning agent tells the others every 250 to 500 ms that it plans; after this time without a
 * message another one plans.
 */
const PLANNER_TIMEOUT_MS = 1100;

/**
 * The same while the group stalls: a planner that holds a pass tells it every 250 ms, and one that
 * is silent has left the group waiting for it.
 */
const STALLED_PLANNER_TIMEOUT_MS = 500;

/**
 * The other agents send their status to all members every 2 s; after this time without one an agent
 * counts as unresponsive.
 */
const AGENT_TIMEOUT_MS = 5000;

/**
 * Agents of the lowest ranks that may have to plan next. They announce themselves to all others, so
 * that each knows which ones are alive; the others announce themselves only to these.
 */
const CANDIDATES = 8;

/**
 * Agents of the lowest ranks from which entries request reports. If the planner fails, the next one
 * knows its subscribers.
 */
const REPORTERS = 3;

/** The other agents of a group and the last status that each sent. */
export class GroupMembers {
  readonly #clock: Clock;

  readonly #members = new Map<number, Member>();

  #isStalled = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the status that an agent sent. */
  recordStatus(status: RankStatus, agent: string, isPlanning: boolean): void {
    const receivedMs = this.#clock.getNow();
    // The engine of an agent may have another rank after a restart.
    for (const [rank, member] of this.#members) {
      if (member.agent === agent && rank !== status.rank) this.#members.delete(rank);
    }
    this.#members.set(status.rank, { status, agent, isPlanning, receivedMs });
  }

  /** Records that an agent plans. A planner without a status before is not known well enough. */
  recordPlanning(rank: number, agent: string): void {
    const member = this.#members.get(rank);
    if (member?.agent !== agent) return;
    this.#members.set(rank, { ...member, isPlanning: true, receivedMs: this.#clock.getNow() });
  }

  /** Lists the agents to which the agent of `ownRank` announces itself. */
  listAnnouncementReceivers(ownRank: number): string[] {
    const ranks = [...this.#members.keys()].sort((a, b) => a - b);
    const candidates: string[] = [];
    for (const rank of ranks) {
      if (candidates.length === CANDIDATES) return candidates;
      if (rank > ownRank) break;
      const member = this.#members.get(rank);
      if (member !== undefined && !this.#isTimedOut(member)) candidates.push(member.agent);
    }
    return candidates.length === CANDIDATES ? candidates : this.listAgents();
  }

  /** Returns whether the agent of `ownRank` may soon have to plan, as far as it knows. */
  isCandidate(ownRank: number): boolean {
    return this.#countResponsiveBelow(ownRank) < CANDIDATES;
  }

  /**
   * Returns whether the agent of `ownRank` knows the members that it needs: a candidate all of them,
   * the others the candidates.
   */
  isComplete(ownRank: number, size: number): boolean {
    return this.#members.size >= size - 1 || !this.isCandidate(ownRank);
  }

  /**
   * Lists the agents that report for the group or may soon, the planner first.
   *
   * @param ownAgent agent of `ownRank`
   */
  listReporters(ownRank: number, ownAgent: string): string[] {
    const agents = new Map([[ownRank, ownAgent]]);
    for (const [rank, member] of this.#members) {
      if (!this.#isTimedOut(member)) agents.set(rank, member.agent);
    }
    const ranks = [...agents.keys()].sort((a, b) => a - b).slice(0, REPORTERS);
    return ranks.map((rank) => agents.get(rank) ?? ownAgent);
  }

  /** Lists the agents that may have to plan if the one of `ownRank`, which plans, fails. */
  listCandidates(ownRank: number): string[] {
    const ranks = [...this.#members.keys()].sort((a, b) => a - b);
    const agents: string[] = [];
    for (const rank of ranks) {
      const member = this.#members.get(rank);
      if (rank < ownRank || member === undefined) continue;
      if (agents.length < CANDIDATES) agents.push(member.agent);
    }
    return agents;
  }

  clear(): void {
    this.#members.clear();
  }

  /** Lists the addresses of the agents, also of unresponsive ones. */
  listAgents(): string[] {
    return Array.from(this.#members.values(), ({ agent }) => agent);
  }

  listResponsiveAgents(): string[] {
    const agents: string[] = [];
    for (const member of this.#members.values()) {
      if (!this.#isTimedOut(member)) agents.push(member.agent);
    }
    return agents;
  }

  /** Lists the agents with their ranks, also unresponsive ones. */
  listMembers(): { readonly agent: string; readonly rank: number }[] {
    return Array.from(this.#members, ([rank, { agent }]) => ({ agent, rank }));
  }

  /** Lists the last statuses, without the pace of silent members: slow spells pass. */
  listStatuses(): RankStatus[] {
    return Array.from(this.#members.values(), (member) =>
      this.#isTimedOut(member) ? { ...member.status, pace: undefined } : member.status,
    );
  }

  getAgent(rank: number): string | null {
    return this.#members.get(rank)?.agent ?? null;
  }

  /** Returns the address of a rank's engine, or null if its agent has sent no status. */
  getRankAddress(rank: number): string | null {
    return this.#members.get(rank)?.status.address ?? null;
  }

  /** Returns when an agent last sent a status, monotonic milliseconds. */
  getLastHeardMs(agent: string): number {
    for (const member of this.#members.values()) {
      if (member.agent === agent) return member.receivedMs;
    }
    return -Infinity;
  }

  /** Tells whether the group has work and begins no passes. */
  setStalled(isStalled: boolean): void {
    this.#isStalled = isStalled;
  }

  /** Returns whether an agent has been silent for so long that another one may do its work. */
  isSilent(agent: string): boolean {
    for (const member of this.#members.values()) {
      if (member.agent === agent) return this.#isTimedOut(member);
    }
    return true;
  }

  /**
   * Returns the rank whose agent plans for the group: the lowest one with a responsive agent, at
   * most `ownRank`.
   */
  electPlanner(ownRank: number): number {
    let lowest = ownRank;
    for (const [rank, member] of this.#members) {
      if (rank < lowest && !this.#isTimedOut(member)) lowest = rank;
    }
    return lowest;
  }

  #countResponsiveBelow(ownRank: number): number {
    let count = 0;
    for (const [rank, member] of this.#members) {
      if (rank < ownRank && !this.#isTimedOut(member)) count += 1;
    }
    return count;
  }

  #isTimedOut({ isPlanning, receivedMs }: Member): boolean {
    const plannerTimeoutMs = this.#isStalled ? STALLED_PLANNER_TIMEOUT_MS : PLANNER_TIMEOUT_MS;
    const timeoutMs = isPlanning ? plannerTimeoutMs : AGENT_TIMEOUT_MS;
    return this.#clock.getNow() - receivedMs > timeoutMs;
  }
}
