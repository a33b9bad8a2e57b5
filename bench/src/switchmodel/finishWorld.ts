import type { SwitchWorld } from './SwitchWorld.js';

const MAX_EVENTS = 400;

/** Order in which a group without faults goes on; a rank abandons only when nothing else is left. */
const ORDER = ['store up', 'step', 'grant', 'settle', 'read', 'query', 'ask', 'abandon'];

/**
 * Runs a world without further faults.
 *
 * @returns whether every step of the run was done
 */
export function finishWorld(world: SwitchWorld): boolean {
  for (let count = 0; count < MAX_EVENTS && !world.isDone(); count += 1) {
    const events = world.listEvents().filter((event) => !event.isFault);
    const message = events.find((event) => event.name.includes('#'));
    let next = message;
    for (const name of ORDER) {
      if (next !== undefined) break;
      next = events.find(
        (event) => event.name.startsWith(name) && !(name === 'query' && !isUseful(world)),
      );
    }
    if (next === undefined) return world.isDone();
    next.apply();
  }
  return world.isDone();
}

/** Whether a query of the store would find a decision. */
function isUseful(world: SwitchWorld): boolean {
  return world.getState().record.status !== 'pending';
}
