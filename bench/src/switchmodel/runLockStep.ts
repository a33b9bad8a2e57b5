import { SwitchModel } from './SwitchModel.js';

type Config = ConstructorParameters<typeof SwitchModel>[0];

/** Faults of a run. Times count the rounds of the run: one step and one message delay each. */
interface Incident {
  /** Whether the decision of planner 0 never reaches the store. */
  readonly isPlannerLost: boolean;
  /** Time at which the agent of rank 0 restarts; -1 for never. */
  readonly restartAt: number;
  /** Times at which the store becomes unavailable and available again; -1 for no outage. */
  readonly outageFrom: number;
  readonly outageUntil: number;
  /** Whether a restarted agent may recover from the replies of its peers, without the store. */
  readonly usesRecoveryReplies: boolean;
  /** Time that a switch may stay undecided before the ranks abort it. */
  readonly maxUndecidedRounds: number;
}

interface LockStepResult {
  /** Rounds in which the group could not run a step. */
  readonly stalledSteps: number;
  readonly isCommitted: boolean;
  readonly violation: string;
}

/** Applies the events whose names match, each at most once, until none is left. */
function applyAll(model: SwitchModel, names: RegExp): void {
  const applied = new Set<string>();
  for (;;) {
    const event = model
      .listEvents()
      .find((candidate) => names.test(candidate.name) && !applied.has(candidate.name));
    if (event === undefined) return;
    applied.add(event.name);
    event.apply();
  }
}

/** Delivers the messages in transit now; those sent in response wait for the next round. */
function processMessages(model: SwitchModel, isPlannerLost: boolean): void {
  const count = model.getState().messages.length;
  for (let index = 0; index < count; index += 1) {
    // A delivered message is removed, so the next one moves to its index. A write is skipped while
    // the store is unavailable; the decision of a lost planner is skipped for good.
    const messageIndex = model.getState().messages.findIndex(({ kind }) => kind !== 'write');
    const writeIndex = model.getState().messages.findIndex(({ kind }) => kind === 'write');
    const isLostDecision =
      writeIndex >= 0 && model.getState().record.status === 'pending' && isPlannerLost;
    const nextIndex =
      writeIndex >= 0 && !isLostDecision && model.getState().isStoreAvailable
        ? writeIndex
        : messageIndex;
    const event = model
      .listEvents()
      .find((candidate) => !candidate.isFault && candidate.name.endsWith(`#${nextIndex}`));
    if (event === undefined) return;
    event.apply();
  }
}

/** Runs one switch in rounds of one step each and counts the rounds in which the group stalls. */
export function runLockStep(config: Config, incident: Incident): LockStepResult {
  const model = new SwitchModel(config);
  let stalledSteps = 0;
  let undecidedRounds = 0;
  for (let time = 0; time < 400 && !model.isDone(); time += 1) {
    if (time === incident.outageFrom) applyAll(model, /^store down/);
    if (time === incident.outageUntil) applyAll(model, /^store up/);
    if (time === incident.restartAt) {
      model
        .listEvents()
        .find((event) => event.name === 'restart 0')
        ?.apply();
    }
    if (time === 2) applyAll(model, /^acquire 0/);
    if (time === 3) applyAll(model, /^settle 0/);
    if (time === 4) applyAll(model, /^begin 0/);
    processMessages(model, incident.isPlannerLost);
    applyAll(model, incident.usesRecoveryReplies ? /^(read|ask)/ : /^read/);
    const isUndecided = model.getState().record.status === 'pending';
    undecidedRounds = isUndecided ? undecidedRounds + 1 : 0;
    if (undecidedRounds > incident.maxUndecidedRounds) applyAll(model, /^abandon/);
    if (!isUndecided) applyAll(model, /^query/);
    applyAll(model, /^grant/);
    const previousStep = model.getState().step;
    model
      .listEvents()
      .find((event) => event.name === 'step')
      ?.apply();
    if (model.getState().step === previousStep) stalledSteps += 1;
  }
  const { record, violation } = model.getState();
  const isCommitted = record.map.version > 1 && record.status === 'committed';
  return { stalledSteps, isCommitted, violation };
}
