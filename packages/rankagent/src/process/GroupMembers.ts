import type { Clock, RankStatus } from '@limpetbay/core';

interface Member {
  readonly status: RankStatus;
  /** `IP:PORT` of the agent; null where the status came from the rank itself. */
  readonly agent: string | null;
  readonly heardMs: number;
}

/** An agent that was not heard for this long does not plan, milliseconds. */
const SILENT_MS = 700;

/** The other agents of a group, as their messages show them. */
export class GroupMembers {
  readonly #clock: Clock;

  readonly #members = new Map<number, Member>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  accept(status: RankStatus, agent: string): void {
    this.#members.set(status.rank, { status, agent, heardMs: this.#clock.getNow() });
  }

  /** Lists the addresses of the agents, also of silent ones. */
  listAgents(): string[] {
    const agents: string[] = [];
    for (const { agent } of this.#members.values()) if (agent !== null) agents.push(agent);
    return agents;
  }

  getAgent(rank: number): string | null {
    return this.#members.get(rank)?.agent ?? null;
  }

  /** Returns the address of a rank's engine, or null where it never was heard of. */
  getRankAddress(rank: number): string | null {
    return this.#members.get(rank)?.status.address ?? null;
  }

  count(): number {
    return this.#members.size;
  }

  /** Returns the lowest rank whose agent is alive, at most `self`; it plans for the group. */
  electPlanner(self: number): number {
    const oldestMs = this.#clock.getNow() - SILENT_MS;
    let lowest = self;
    for (const [rank, { heardMs }] of this.#members) {
      if (heardMs >= oldestMs && rank < lowest) lowest = rank;
    }
    return lowest;
  }
}
