import { SwitchWorld } from './SwitchWorld.js';

type Config = ConstructorParameters<typeof SwitchWorld>[0];

/** What goes wrong, and when, in steps of time. */
interface Incident {
  /** Planner 0 does nothing from its decision on. */
  readonly isPlannerLost: boolean;
  /** Time at which rank 0's agent restarts. */
  readonly restartAt: number;
  readonly outageFrom: number;
  readonly outageUntil: number;
  /** Whether a restarted agent may resume on the evidence of its peers. */
  readonly usesEvidence: boolean;
  /** Time that a rank waits for a decision before it abandons the switch. */
  readonly patience: number;
}

interface LockStepResult {
  /** Times of a step in which the group could not run one. */
  readonly stalledSteps: number;
  readonly isCommitted: boolean;
  readonly violation: string;
}

function applyAll(world: SwitchWorld, names: RegExp): void {
  const tried = new Set<string>();
  for (;;) {
    const event = world.listEvents().find((item) => names.test(item.name) && !tried.has(item.name));
    if (event === undefined) return;
    tried.add(event.name);
    event.apply();
  }
}

/** Hands over the messages that are on their way now; each takes the time of one step. */
function dispatchMessages(world: SwitchWorld, isPlannerLost: boolean): void {
  const count = world.getState().net.length;
  for (let index = 0; index < count; index += 1) {
    // The first message is handed over and removed, so the next one takes its place. A write that
    // must wait, for the store or for good, is passed over.
    const kept = world.getState().net.findIndex(({ kind }) => kind !== 'write');
    const write = world.getState().net.findIndex(({ kind }) => kind === 'write');
    const isDecision = write >= 0 && world.getState().record.status === 'pending' && isPlannerLost;
    const at = write >= 0 && !isDecision && world.getState().isStoreUp ? write : kept;
    const event = world.listEvents().find((item) => !item.isFault && item.name.endsWith(`#${at}`));
    if (event === undefined) return;
    event.apply();
  }
}

/** Runs one switch in lock-step time and counts the steps for which the group waits. */
export function runLockStep(config: Config, incident: Incident): LockStepResult {
  const world = new SwitchWorld(config);
  let stalledSteps = 0;
  let undecidedFor = 0;
  for (let time = 0; time < 400 && !world.isDone(); time += 1) {
    if (time === incident.outageFrom) applyAll(world, /^store down/);
    if (time === incident.outageUntil) applyAll(world, /^store up/);
    if (time === incident.restartAt) {
      world
        .listEvents()
        .find((event) => event.name === 'restart 0')
        ?.apply();
    }
    if (time === 2) applyAll(world, /^acquire 0/);
    if (time === 3) applyAll(world, /^settle 0/);
    if (time === 4) applyAll(world, /^begin 0/);
    dispatchMessages(world, incident.isPlannerLost);
    applyAll(world, incident.usesEvidence ? /^(read|ask)/ : /^read/);
    const isUndecided = world.getState().record.status === 'pending';
    undecidedFor = isUndecided ? undecidedFor + 1 : 0;
    if (undecidedFor > incident.patience) applyAll(world, /^abandon/);
    if (!isUndecided) applyAll(world, /^query/);
    applyAll(world, /^grant/);
    const before = world.getState().step;
    world
      .listEvents()
      .find((event) => event.name === 'step')
      ?.apply();
    if (world.getState().step === before) stalledSteps += 1;
  }
  const { record, violation } = world.getState();
  const isCommitted = record.map.version > 1 && record.status === 'committed';
  return { stalledSteps, isCommitted, violation };
}
