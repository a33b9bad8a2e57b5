import { SeededRandom } from '@limpetbay/core';
import { SimCaller } from './SimCaller.js';
import type { Tally } from './Tally.js';
import type { Variant } from './Variant.js';
import { Simulation } from './Simulation.js';
import { addFault } from './addFault.js';
import { scheduleSettings } from './scheduleSettings.js';

const CALLER_COUNT = 10;

/** Share of schedules in which all keyed callers share two keys and the store is slow. */
const CONTENDED_SHARE = 0.3;

const MAX_FAULTS = 6;

/**
 * Runs one random schedule of requests and faults, and compares what callers were sent with what
 * the targets ran.
 *
 * @returns the counts of the schedule with its violations
 */
export async function runSchedule(seed: number, variant: Variant): Promise<Tally> {
  const random = new SeededRandom(seed);
  const simulation = new Simulation(random, variant);
  const { queue, tally, store } = simulation;
  const callers: SimCaller[] = [];
  const isContended = random.next() < CONTENDED_SHARE;
  if (isContended) store.setFaults({ latencyMs: [20, 250] });
  for (let index = 0; index < CALLER_COUNT; index += 1) {
    const caller = new SimCaller(simulation, `c${index}`, isContended ? index % 2 : null);
    callers.push(caller);
    queue.schedule(random.next() * scheduleSettings.activeMs * 0.7, () => caller.start());
  }
  const faults = 1 + Math.floor(random.next() * MAX_FAULTS);
  for (let index = 0; index < faults; index += 1) {
    const atMs = random.next() * scheduleSettings.activeMs;
    const durationMs = random.next() * Math.min(2500, scheduleSettings.activeMs - atMs);
    queue.schedule(atMs, () => addFault(simulation, durationMs));
  }
  await queue.run(scheduleSettings.endMs);
  tally.schedules = 1;
  for (const caller of callers) tally.wronglyNotRun += caller.countWronglyNotRun();
  for (const agent of simulation.agents) tally.blockedKeys += agent.countOpenKeys();
  for (const { value } of store.listRecords('limpetbay/claims/')) {
    const { state, owner } = JSON.parse(value) as {
      state: string;
      owner: { instance: string; incarnation: number };
    };
    const agent = simulation.agents.find(({ name }) => name === owner.instance);
    if (state === 'claimed' && agent?.hasIncarnation(owner.incarnation)) tally.blockedKeys += 1;
  }
  return tally;
}
