import { scoreRelay, type Clock } from '@limpetbay/core';

/** Agents that introduce the members of a group to each other; all members choose the same ones. */
const INTRODUCERS = 4;

/** Rounds without success after which more agents are asked to introduce members. */
const ROUNDS_PER_STEP = 4;

/** Most agents that are asked to introduce members. */
const MAX_INTRODUCERS = 16;

/** Further agents that are asked in each round, in turns, in case the introducers know nobody. */
const SAMPLED_AGENTS = 4;

/** Several agents name the same member; it is asked for its status once in this time, milliseconds. */
const CONTACT_INTERVAL_MS = 300;

/** Bounds of the interval of rounds, which doubles after each, milliseconds. */
const FIRST_INTERVAL_MS = 300;
const MAX_INTERVAL_MS = 4000;

/**
 * Decides which agents of a service are asked for the members of a group. Asking all of them would
 * cost messages in proportion to the square of their number.
 */
export class MemberSearch {
  readonly #clock: Clock;

  #group = '';

  /** All agents of the service, by descending rendezvous score for the group. */
  #agents: string[] = [];

  #round = 0;

  #nextMs = -Infinity;

  /** When members were last asked for their statuses, by agent. */
  readonly #contactMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Begins a search for the members of a group. @param agents all agents of the service */
  restart(group: string, agents: readonly string[]): void {
    this.#group = group;
    this.#round = 0;
    this.#nextMs = -Infinity;
    this.#contactMs.clear();
    this.setAgents(agents);
  }

  /** Changes the agents of the service; the search goes on. */
  setAgents(agents: readonly string[]): void {
    const scores = new Map(agents.map((agent) => [agent, scoreRelay(this.#group, agent)]));
    const getScore = (agent: string): number => scores.get(agent) ?? 0;
    this.#agents = [...agents].sort((a, b) => getScore(b) - getScore(a));
  }

  /**
   * Returns the agents to ask now; none if no round is due.
   *
   * @param ownAgent agent that searches
   * @param isComplete whether the members are known, so that only a new search is announced
   */
  takeContacts(ownAgent: string, isComplete: boolean): string[] {
    const nowMs = this.#clock.getNow();
    const isWanted = this.#round === 0 || !isComplete;
    if (!isWanted || nowMs < this.#nextMs || this.#agents.length === 0) return [];
    const round = this.#round;
    this.#round += 1;
    this.#nextMs = nowMs + Math.min(MAX_INTERVAL_MS, FIRST_INTERVAL_MS * 2 ** round);
    const steps = 1 + Math.floor(round / ROUNDS_PER_STEP);
    const introducers = Math.min(MAX_INTRODUCERS, INTRODUCERS * steps);
    const contacts = new Set(this.#agents.slice(0, introducers));
    if (!isComplete) {
      const start = scoreRelay(ownAgent, this.#group) + round * SAMPLED_AGENTS;
      for (let index = 0; index < SAMPLED_AGENTS; index += 1) {
        contacts.add(this.#agents[(start + index) % this.#agents.length] ?? ownAgent);
      }
    }
    contacts.delete(ownAgent);
    return [...contacts];
  }

  /** Returns whether a member should be asked for its status, and notes that it is. */
  tryContact(agent: string): boolean {
    const nowMs = this.#clock.getNow();
    if (nowMs - (this.#contactMs.get(agent) ?? -Infinity) < CONTACT_INTERVAL_MS) return false;
    this.#contactMs.set(agent, nowMs);
    return true;
  }
}
