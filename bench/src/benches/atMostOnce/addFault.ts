import type { World } from './World.js';

function pick<T>(world: World, items: readonly T[]): T | undefined {
  return items[Math.floor(world.random.next() * items.length)];
}

function stopAgent(world: World, lastsMs: number): void {
  const agent = pick(world, world.agents);
  if (agent === undefined || !agent.process.isUp()) return;
  agent.process.stop();
  for (const entry of world.entries) {
    for (const connection of entry.listConnections()) {
      if (connection.agent !== agent) continue;
      world.queue.schedule(1 + world.random.next() * 20, () =>
        world.link.endConnection(connection),
      );
    }
  }
  world.queue.schedule(lastsMs, () => agent.restart());
}

function addAgentPause(world: World, lastsMs: number): void {
  const agent = pick(world, world.agents);
  if (agent === undefined) return;
  const life = agent.process.getLife();
  if (!agent.process.isUp()) return;
  agent.process.waitForResume();
  agent.isSuspected = world.random.next() < 0.3;
  world.queue.schedule(lastsMs, () => {
    if (!agent.process.isUp(life)) return;
    agent.isSuspected = false;
    agent.process.resume();
  });
}

function stopEntry(world: World, lastsMs: number): void {
  const entry = pick(world, world.entries);
  if (entry === undefined || !entry.process.isUp()) return;
  entry.stop();
  world.queue.schedule(lastsMs, () => entry.restart());
}

function addEntryPause(world: World, lastsMs: number): void {
  const entry = pick(world, world.entries);
  if (entry === undefined) return;
  const life = entry.process.getLife();
  entry.process.waitForResume();
  world.queue.schedule(lastsMs, () => {
    if (entry.process.isUp(life)) entry.process.resume();
  });
}

function addSilence(world: World): void {
  const connection = pick(world, pick(world, world.entries)?.listConnections() ?? []);
  if (connection !== undefined) connection.silent = true;
}

/** Adds one random fault that ends after at most `lastsMs`. */
export function addFault(world: World, lastsMs: number): void {
  const { store, queue, random } = world;
  switch (Math.floor(random.next() * 10)) {
    case 0:
    case 1:
      stopAgent(world, lastsMs);
      break;
    case 2:
      addAgentPause(world, lastsMs);
      break;
    case 3:
      stopEntry(world, lastsMs);
      break;
    case 4:
      addEntryPause(world, lastsMs);
      break;
    case 5:
      pick(
        world,
        world.agents.filter(({ process }) => process.isUp()),
      )?.restartTarget();
      break;
    case 6:
      addSilence(world);
      break;
    case 7:
      store.setFaults({ outage: random.next() < 0.5 ? 'down' : 'silent' });
      queue.schedule(lastsMs, () => store.setFaults({ outage: 'none' }));
      break;
    case 8:
      store.setFaults({ latencyMs: [50, 500] });
      queue.schedule(lastsMs, () => store.setFaults({ latencyMs: [2, 8] }));
      break;
    default:
      store.setFaults({
        droppedAnswerProbability: 0.3,
        droppedCallProbability: 0.1,
        lateEffectProbability: 0.2,
      });
      queue.schedule(lastsMs, () =>
        store.setFaults({
          droppedAnswerProbability: 0,
          droppedCallProbability: 0,
          lateEffectProbability: 0,
        }),
      );
  }
}
