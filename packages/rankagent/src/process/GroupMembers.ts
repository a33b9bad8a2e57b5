import type { Clock, RankStatus } from '@limpetbay/core';

interface Member {
  readonly status: RankStatus;
  /** `IP:PORT` of the agent. */
  readonly agent: string;
  /** Whether it planned when it was heard of last. */
  readonly isPlanning: boolean;
  readonly heardMs: number;
}

/** The planning agent sends its status every 250 to 800 ms; without it for this long another one plans. */
const SILENT_PLANNER_MS = 1100;

/** The other agents send theirs to all members every two seconds, milliseconds. */
const SILENT_MS = 5000;

/** The other agents of a group, as their messages show them. */
export class GroupMembers {
  readonly #clock: Clock;

  readonly #members = new Map<number, Member>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  accept(status: RankStatus, agent: string, isPlanning: boolean): void {
    const heardMs = this.#clock.getNow();
    // A rank may have another place after a restart.
    for (const [rank, known] of this.#members) {
      if (known.agent === agent && rank !== status.rank) this.#members.delete(rank);
    }
    this.#members.set(status.rank, { status, agent, isPlanning, heardMs });
  }

  clear(): void {
    this.#members.clear();
  }

  /** Lists the addresses of the agents, also of silent ones. */
  listAgents(): string[] {
    return Array.from(this.#members.values(), ({ agent }) => agent);
  }

  listStatuses(): RankStatus[] {
    return Array.from(this.#members.values(), ({ status }) => status);
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
    const nowMs = this.#clock.getNow();
    let lowest = self;
    for (const [rank, { heardMs, isPlanning }] of this.#members) {
      const silentMs = isPlanning ? SILENT_PLANNER_MS : SILENT_MS;
      if (nowMs - heardMs <= silentMs && rank < lowest) lowest = rank;
    }
    return lowest;
  }
}
