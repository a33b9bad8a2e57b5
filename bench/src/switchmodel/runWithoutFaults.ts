import type { SwitchModel } from './SwitchModel.js';

const MAX_EVENTS = 400;

/** Prefixes of event names by priority; a rank aborts a switch only if nothing else is possible. */
const EVENT_PRIORITIES = ['store up', 'step', 'grant', 'settle', 'read', 'query', 'ask', 'abandon'];

/**
 * Runs the model to its end without further faults, messages first.
 *
 * @returns whether the group ran its last step within {@link MAX_EVENTS} events
 */
export function runWithoutFaults(model: SwitchModel): boolean {
  for (let count = 0; count < MAX_EVENTS && !model.isDone(); count += 1) {
    const events = model.listEvents().filter((event) => !event.isFault);
    const message = events.find((event) => event.name.includes('#'));
    let next = message;
    for (const name of EVENT_PRIORITIES) {
      if (next !== undefined) break;
      next = events.find(
        (event) => event.name.startsWith(name) && !(name === 'query' && !isDecided(model)),
      );
    }
    if (next === undefined) return model.isDone();
    next.apply();
  }
  return model.isDone();
}

/** Whether the store has a decision, so that a query changes something. */
function isDecided(model: SwitchModel): boolean {
  return model.getState().record.status !== 'pending';
}
