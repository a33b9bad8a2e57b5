import type { Clock } from '@limpetbay/core';

interface Member {
  /** `IP:PORT` of the agent. */
  readonly agent: string;
  readonly rank: number;
}

interface KnownAgent {
  readonly group: string;
  readonly rank: number;
  readonly heardMs: number;
}

/** An agent that has not looked for others for so long is found over the members that know it. */
const RETENTION_MS = 300_000;

/** Agents of the lowest ranks of which every member is told: eight, and some for those that failed. */
const LOWEST_RANKS = 12;

/**
 * Agents that asked this one for the members of their groups, which need not be its own. It
 * introduces them to each other.
 */
export class MemberDirectory {
  readonly #clock: Clock;

  /** By address, `IP:PORT`. */
  readonly #agents = new Map<string, KnownAgent>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Records an agent that looks for its group.
   *
   * @param known further members of the group
   * @returns the agents that it must know: all if its rank is one of the lowest, else the lowest
   */
  register({ agent, rank }: Member, group: string, known: readonly Member[]): string[] {
    const nowMs = this.#clock.getNow();
    this.#agents.set(agent, { group, rank, heardMs: nowMs });
    const ranks = new Map(known.map((member) => [member.agent, member.rank]));
    for (const [address, other] of this.#agents) {
      if (nowMs - other.heardMs > RETENTION_MS) this.#agents.delete(address);
      else if (other.group === group) ranks.set(address, other.rank);
    }
    ranks.delete(agent);
    const others = [...ranks].sort(([, a], [, b]) => a - b);
    const isLowest = (others[LOWEST_RANKS - 1]?.[1] ?? Infinity) > rank;
    const needed = isLowest ? others : others.slice(0, LOWEST_RANKS);
    return needed.map(([address]) => address);
  }
}
