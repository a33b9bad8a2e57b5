import type { Simulation } from './Simulation.js';

function pick<T>(simulation: Simulation, items: readonly T[]): T | undefined {
  return items[Math.floor(simulation.random.next() * items.length)];
}

function stopAgent(simulation: Simulation, durationMs: number): void {
  const agent = pick(simulation, simulation.agents);
  if (agent === undefined || !agent.process.isUp()) return;
  agent.process.stop();
  for (const entry of simulation.entries) {
    for (const connection of entry.listConnections()) {
      if (connection.agent !== agent) continue;
      simulation.queue.schedule(1 + simulation.random.next() * 20, () =>
        simulation.network.endConnection(connection),
      );
    }
  }
  simulation.queue.schedule(durationMs, () => agent.restart());
}

function addAgentPause(simulation: Simulation, durationMs: number): void {
  const agent = pick(simulation, simulation.agents);
  if (agent === undefined) return;
  const processIncarnation = agent.process.getIncarnation();
  if (!agent.process.isUp()) return;
  agent.process.suspend();
  agent.isSuspected = simulation.random.next() < 0.3;
  simulation.queue.schedule(durationMs, () => {
    if (!agent.process.isUp(processIncarnation)) return;
    agent.isSuspected = false;
    agent.process.resume();
  });
}

function stopEntry(simulation: Simulation, durationMs: number): void {
  const entry = pick(simulation, simulation.entries);
  if (entry === undefined || !entry.process.isUp()) return;
  entry.stop();
  simulation.queue.schedule(durationMs, () => entry.restart());
}

function addEntryPause(simulation: Simulation, durationMs: number): void {
  const entry = pick(simulation, simulation.entries);
  if (entry === undefined) return;
  const processIncarnation = entry.process.getIncarnation();
  entry.process.suspend();
  simulation.queue.schedule(durationMs, () => {
    if (entry.process.isUp(processIncarnation)) entry.process.resume();
  });
}

function addConnectionStall(simulation: Simulation): void {
  const connection = pick(
    simulation,
    pick(simulation, simulation.entries)?.listConnections() ?? [],
  );
  if (connection !== undefined) connection.stalled = true;
}

/**
 * Adds one random fault that ends after `durationMs`. A stalled connection stays so until it is
 * replaced, and a restart of a target takes no time.
 */
export function addFault(simulation: Simulation, durationMs: number): void {
  const { store, queue, random } = simulation;
  switch (Math.floor(random.next() * 10)) {
    case 0:
    case 1:
      stopAgent(simulation, durationMs);
      break;
    case 2:
      addAgentPause(simulation, durationMs);
      break;
    case 3:
      stopEntry(simulation, durationMs);
      break;
    case 4:
      addEntryPause(simulation, durationMs);
      break;
    case 5:
      pick(
        simulation,
        simulation.agents.filter(({ process }) => process.isUp()),
      )?.restartTarget();
      break;
    case 6:
      addConnectionStall(simulation);
      break;
    case 7:
      store.setFaults({ outage: random.next() < 0.5 ? 'down' : 'silent' });
      queue.schedule(durationMs, () => store.setFaults({ outage: 'none' }));
      break;
    case 8:
      store.setFaults({ latencyMs: [50, 500] });
      queue.schedule(durationMs, () => store.setFaults({ latencyMs: [2, 8] }));
      break;
    default:
      store.setFaults({
        droppedAnswerProbability: 0.3,
        droppedCallProbability: 0.1,
        lateEffectProbability: 0.2,
      });
      queue.schedule(durationMs, () =>
        store.setFaults({
          droppedAnswerProbability: 0,
          droppedCallProbability: 0,
          lateEffectProbability: 0,
        }),
      );
  }
}
