import type { RandomSource } from '@limpetbay/core';
import { SwitchWorld } from './SwitchWorld.js';
import { finishWorld } from './finishWorld.js';

type Config = ConstructorParameters<typeof SwitchWorld>[0];

const IMPATIENCE = 0.02;

interface ScheduleResult {
  /** Empty if every invariant held and the run finished. */
  readonly violation: string;
  readonly events: number;
  readonly faults: number;
  /** Version of the last record, and whether it was committed. */
  readonly version: number;
  readonly isCommitted: boolean;
}

/**
 * Runs one random order of events and faults, then goes on without faults to the end.
 *
 * @param events random events before the faults stop
 * @param faultShare chance of a fault where one is possible
 */
export function runSchedule(
  config: Config,
  random: RandomSource,
  events: number,
  faultShare: number,
): ScheduleResult {
  const world = new SwitchWorld(config);
  let count = 0;
  for (; count < events && !world.isDone(); count += 1) {
    const all = world.listEvents();
    const isFault = random.next() < faultShare;
    let chosen = all.filter((event) => event.isFault === isFault);
    if (chosen.length === 0) chosen = all;
    // Waits that were too long are rare beside messages, or no switch would ever be committed.
    const isPatient = random.next() > IMPATIENCE;
    const usual = chosen.filter((event) => !/^(timeout|abandon)/.test(event.name));
    if (isPatient && usual.length > 0) chosen = usual;
    const event = chosen[Math.floor(random.next() * chosen.length)];
    if (event === undefined) break;
    event.apply();
    world.trim();
    if (world.getState().violation !== '') break;
  }
  const isFinished = finishWorld(world);
  const { violation, faults, record } = world.getState();
  const stuck = isFinished ? '' : 'stuck without further faults';
  return {
    violation: violation === '' ? stuck : violation,
    events: count,
    faults,
    version: record.map.version,
    isCommitted: record.status === 'committed',
  };
}
