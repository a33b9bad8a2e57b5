import type { ClaimOwner, Incarnation, RandomSource } from '@limpetbay/core';
import { MemoryStore } from '@limpetbay/standins';
import { EventQueue } from './EventQueue.js';
import { SimNetwork } from './SimNetwork.js';
import { RunLog } from './RunLog.js';
import { SimAgent } from './SimAgent.js';
import { SimEntry } from './SimEntry.js';
import { Tally } from './Tally.js';
import type { Variant } from './Variant.js';

/** Time after which other agents see that an incarnation of an agent has ended. */
const END_DETECTION_DELAY_MS = 300;

/** The simulated processes, store and network of one schedule. */
export class Simulation {
  readonly queue = new EventQueue();

  readonly random: RandomSource;

  readonly variant: Variant;

  readonly store: MemoryStore;

  readonly tally = new Tally();

  readonly runs = new RunLog(this.tally);

  readonly network = new SimNetwork(this);

  readonly agents: SimAgent[] = [];

  readonly entries: SimEntry[] = [];

  readonly #endedMs = new Map<string, number>();

  #incarnation = 0;

  constructor(random: RandomSource, variant: Variant) {
    this.random = random;
    this.variant = variant;
    this.store = new MemoryStore(this.queue.clock, random);
    this.store.setFaults({ latencyMs: [2, 8], timeoutMs: 300, maxLateEffectMs: 1500 });
    this.queue.attachSource(this.store);
    for (let index = 0; index < 3; index += 1) this.agents.push(new SimAgent(this, `a${index}`));
    for (let index = 0; index < 3; index += 1) this.entries.push(new SimEntry(this, `e${index}`));
  }

  createIncarnation(): Incarnation {
    this.#incarnation += 1;
    return this.#incarnation as Incarnation;
  }

  /**
   * Whether agents consider an incarnation of a claim owner ended: reported after a delay, and
   * wrongly so for a suspected agent that is only paused.
   */
  readonly hasEnded = ({ instance, incarnation }: ClaimOwner): boolean => {
    const agent = this.agents.find(({ name }) => name === instance);
    if (agent === undefined) return false;
    if (agent.process.isUp() && agent.hasIncarnation(incarnation)) return agent.isSuspected;
    const key = `${instance}/${incarnation}`;
    const now = this.queue.clock.getNow();
    const endedMs = this.#endedMs.get(key) ?? now;
    this.#endedMs.set(key, endedMs);
    return now - endedMs >= END_DETECTION_DELAY_MS;
  };
}
