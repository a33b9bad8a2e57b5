import { SeededRandom } from '@limpetbay/core';
import { SimCaller } from './SimCaller.js';
import type { Tally } from './Tally.js';
import type { Variant } from './Variant.js';
import { World } from './World.js';
import { addFault } from './addFault.js';
import { scale } from './scale.js';

const CALLERS = 10;

/** Share of schedules in which the callers have two keys between them and the store is slow. */
const CONTENDED_SHARE = 0.3;

const MOST_FAULTS = 6;

/** Runs one random schedule of requests and faults, and checks it against what the targets ran. */
export async function runSchedule(seed: number, variant: Variant): Promise<Tally> {
  const random = new SeededRandom(seed);
  const world = new World(random, variant);
  const { queue, tally, store } = world;
  const callers: SimCaller[] = [];
  const contends = random.next() < CONTENDED_SHARE;
  if (contends) store.setFaults({ latencyMs: [20, 250] });
  for (let index = 0; index < CALLERS; index += 1) {
    const caller = new SimCaller(world, `c${index}`, contends ? index % 2 : null);
    callers.push(caller);
    queue.schedule(random.next() * scale.activeMs * 0.7, () => caller.start());
  }
  const faults = 1 + Math.floor(random.next() * MOST_FAULTS);
  for (let index = 0; index < faults; index += 1) {
    const atMs = random.next() * scale.activeMs;
    const lastsMs = random.next() * Math.min(2500, scale.activeMs - atMs);
    queue.schedule(atMs, () => addFault(world, lastsMs));
  }
  await queue.run(scale.endMs);
  tally.schedules = 1;
  for (const caller of callers) tally.wronglyNotRun += caller.countWronglyNotRun();
  for (const agent of world.agents) tally.blockedKeys += agent.getOpenKeys();
  for (const { value } of store.listRecords('limpetbay/claims/')) {
    const { state, owner } = JSON.parse(value) as {
      state: string;
      owner: { instance: string; incarnation: number };
    };
    const agent = world.agents.find(({ name }) => name === owner.instance);
    if (state === 'claimed' && agent?.hasIncarnation(owner.incarnation)) tally.blockedKeys += 1;
  }
  return tally;
}
