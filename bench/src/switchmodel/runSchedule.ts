import type { RandomSource } from '@limpetbay/core';
import { SwitchModel } from './SwitchModel.js';
import { runWithoutFaults } from './runWithoutFaults.js';

type Config = ConstructorParameters<typeof SwitchModel>[0];

/**
 * Probability that timeouts and aborts are among the candidates. They must be rare beside messages,
 * or no switch would be committed.
 */
const TIMEOUT_PROBABILITY = 0.02;

interface ScheduleResult {
  /** Violated invariant or failed completion; empty if the run held all invariants and finished. */
  readonly violation: string;
  readonly events: number;
  readonly faults: number;
  /** Map version of the last stored record, and whether the record was committed. */
  readonly version: number;
  readonly isCommitted: boolean;
}

/**
 * Applies random events and faults, then runs the model to its end without faults.
 *
 * @param events maximum number of random events before the run without faults
 * @param faultShare probability that the next event is a fault, where one is possible
 */
export function runSchedule(
  config: Config,
  random: RandomSource,
  events: number,
  faultShare: number,
): ScheduleResult {
  const model = new SwitchModel(config);
  let count = 0;
  for (; count < events && !model.isDone(); count += 1) {
    const possible = model.listEvents();
    const isFault = random.next() < faultShare;
    let candidates = possible.filter((event) => event.isFault === isFault);
    if (candidates.length === 0) candidates = possible;
    const isTimeoutExcluded = random.next() > TIMEOUT_PROBABILITY;
    const withoutTimeouts = candidates.filter((event) => !/^(timeout|abandon)/.test(event.name));
    if (isTimeoutExcluded && withoutTimeouts.length > 0) candidates = withoutTimeouts;
    const event = candidates[Math.floor(random.next() * candidates.length)];
    if (event === undefined) break;
    event.apply();
    model.removeIgnoredMessages();
    if (model.getState().violation !== '') break;
  }
  const isFinished = runWithoutFaults(model);
  const { violation, faults, record } = model.getState();
  const completionFailure = isFinished ? '' : 'stuck without further faults';
  return {
    violation: violation === '' ? completionFailure : violation,
    events: count,
    faults,
    version: record.map.version,
    isCommitted: record.status === 'committed',
  };
}
