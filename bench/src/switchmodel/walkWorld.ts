import { SwitchWorld } from './SwitchWorld.js';
import { finishWorld } from './finishWorld.js';

type Config = ConstructorParameters<typeof SwitchWorld>[0];
type State = ReturnType<SwitchWorld['getState']>;

interface WalkResult {
  readonly states: number;
  /** Whether every reachable state was visited. */
  readonly isComplete: boolean;
  readonly violation: string;
  /** Events that lead to the violation. */
  readonly trace: readonly string[];
  readonly recoveries: number;
  /** Committed switches seen in some state. */
  readonly committed: number;
}

interface Node {
  readonly state: State;
  readonly parent: Node | null;
  readonly name: string;
}

function listTrace(node: Node, last: string): string[] {
  const names = [last];
  for (let at: Node | null = node; at !== null; at = at.parent) names.unshift(at.name);
  return names;
}

/**
 * Visits every state that the events of a world can reach. Stops at the first violation.
 *
 * @param recoverEvery one state of so many is run on without faults, and must finish
 */
export function walkWorld(config: Config, maxStates: number, recoverEvery: number): WalkResult {
  const seen = new Set<string>();
  const first: Node = { state: new SwitchWorld(config).getState(), parent: null, name: 'start' };
  const stack: Node[] = [first];
  let recoveries = 0;
  let committed = 0;
  const finish = (isComplete: boolean, violation: string, trace: string[]): WalkResult => ({
    states: seen.size,
    isComplete,
    violation,
    trace,
    recoveries,
    committed,
  });
  for (let node = stack.pop(); node !== undefined; node = stack.pop()) {
    if (seen.size >= maxStates) return finish(false, '', []);
    const world = new SwitchWorld(config, node.state);
    for (const event of world.listEvents()) {
      world.reset(node.state);
      event.apply();
      const state = world.trim();
      if (state.violation !== '') {
        return finish(false, state.violation, listTrace(node, event.name));
      }
      const key = world.buildKey();
      if (seen.has(key)) continue;
      seen.add(key);
      if (state.record.status === 'committed' && state.record.map.version > 1) committed += 1;
      if (seen.size % recoverEvery === 0) {
        recoveries += 1;
        if (!finishWorld(new SwitchWorld(config, state))) {
          return finish(false, 'stuck without further faults', listTrace(node, event.name));
        }
      }
      stack.push({ state, parent: node, name: event.name });
    }
  }
  return finish(true, '', []);
}
