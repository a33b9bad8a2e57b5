import { SwitchModel } from './SwitchModel.js';
import { runWithoutFaults } from './runWithoutFaults.js';

type Config = ConstructorParameters<typeof SwitchModel>[0];
type State = ReturnType<SwitchModel['getState']>;

interface CheckResult {
  readonly states: number;
  /** Whether every reachable state was visited and none had a violation. */
  readonly isComplete: boolean;
  readonly violation: string;
  /** Names of the events that lead from the first state to the violation. */
  readonly trace: readonly string[];
  /** Runs without faults that were started from a visited state. */
  readonly recoveries: number;
  /** Visited states whose stored record is a committed switch. */
  readonly committed: number;
}

/** A state to visit, and the event and state that led to it. */
interface Node {
  readonly state: State;
  readonly parent: Node | null;
  readonly name: string;
}

function listTrace(node: Node, lastEvent: string): string[] {
  const names = [lastEvent];
  for (let at: Node | null = node; at !== null; at = at.parent) names.unshift(at.name);
  return names;
}

/**
 * Visits every state that events can reach, depth first. Stops at the first violation.
 *
 * @param maxStates number of states at which the check stops incomplete
 * @param recoveryInterval one visited state in this many is run without faults, and must finish
 */
export function checkReachableStates(
  config: Config,
  maxStates: number,
  recoveryInterval: number,
): CheckResult {
  const visitedKeys = new Set<string>();
  const root: Node = { state: new SwitchModel(config).getState(), parent: null, name: 'start' };
  const stack: Node[] = [root];
  let recoveries = 0;
  let committed = 0;
  const buildResult = (isComplete: boolean, violation: string, trace: string[]): CheckResult => ({
    states: visitedKeys.size,
    isComplete,
    violation,
    trace,
    recoveries,
    committed,
  });
  for (let node = stack.pop(); node !== undefined; node = stack.pop()) {
    if (visitedKeys.size >= maxStates) return buildResult(false, '', []);
    const model = new SwitchModel(config, node.state);
    for (const event of model.listEvents()) {
      model.restore(node.state);
      event.apply();
      const state = model.removeIgnoredMessages();
      if (state.violation !== '') {
        return buildResult(false, state.violation, listTrace(node, event.name));
      }
      const key = model.buildKey();
      if (visitedKeys.has(key)) continue;
      visitedKeys.add(key);
      if (state.record.status === 'committed' && state.record.map.version > 1) committed += 1;
      if (visitedKeys.size % recoveryInterval === 0) {
        recoveries += 1;
        if (!runWithoutFaults(new SwitchModel(config, state))) {
          return buildResult(false, 'stuck without further faults', listTrace(node, event.name));
        }
      }
      stack.push({ state, parent: node, name: event.name });
    }
  }
  return buildResult(true, '', []);
}
