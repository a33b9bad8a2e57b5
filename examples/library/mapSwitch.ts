import {
  Incarnation,
  ManualClock,
  Ok,
  PlannerRole,
  RankRole,
  SeededRandom,
  packLayer,
  type EngineControl,
  type GroupPeers,
} from '@limpetbay/core';
import { MemoryStore } from '@limpetbay/standins';

const RANKS = 4;
const STEP_MS = 50;
const evenCounts = Array.from({ length: 16 }, () => 1000);
const skewedCounts = evenCounts.map((tokens, expert) => (expert === 0 ? 9000 : tokens));

const clock = new ManualClock();
const store = new MemoryStore(clock, new SeededRandom(1));

/** Simulates the engine of a rank: records its step grant and its maps with boundary steps. */
class ExampleEngine implements EngineControl {
  /** Last step that the engine may run; -1 before the first grant. */
  until = -1;

  readonly maps: { readonly version: number; readonly boundary: number }[] = [];

  async loadWeights() {
    return Ok(undefined);
  }

  async grant(grant: { readonly until: number }) {
    this.until = Math.max(this.until, grant.until);
    return Ok(undefined);
  }

  async switchMap(map: { readonly version: number }, boundary: number) {
    this.maps.push({ version: map.version, boundary });
    return Ok(undefined);
  }

  /** Returns the version of the map that is active at a step, or -1 if there is none. */
  getVersion(step: number): number {
    let version = -1;
    for (const map of this.maps) {
      if (map.boundary <= step) version = Math.max(version, map.version);
    }
    return version;
  }
}

const engines = Array.from({ length: RANKS }, () => new ExampleEngine());
const roles: RankRole[] = [];

// All ranks run in this process, so peers are called directly. Agents call each other over RPC.
const peers: GroupPeers = {
  prepare: async (rank, request) => Ok(roles[rank]!.handlePrepare(request)),
  promise: async (rank, record) => Ok(roles[rank]!.handlePromiseRequest(record)),
  sendDecision: async (rank, record) => Ok(roles[rank]!.handleDecision(record)),
  requestRecovery: async (rank, requester) =>
    Ok(roles[rank]!.handleRecoveryRequest(requester.rank, requester.incarnation)),
};

for (const [rank, engine] of engines.entries()) {
  const options = {
    group: 'canerota-g0',
    rank,
    ranks: RANKS,
    window: 10,
    patienceMs: 500,
    stepTimeMs: STEP_MS,
    incarnation: Incarnation.parse(1),
    engineStep: 0,
  };
  roles.push(new RankRole(options, clock, store, peers, engine));
}

let counts = evenCounts;
const planner = new PlannerRole(
  {
    group: 'canerota-g0',
    ranks: RANKS,
    holder: 'agent-0',
    leaseTtlMs: 4000,
    leadSteps: 20,
    patienceMs: 500,
    loadTimeoutMs: 5000,
    cost: {
      bytesPerCopy: 1e6,
      weightBytesPerSecond: 1e8,
      lossPerLoadSecond: 0.1,
      stallSeconds: 0,
      expertShare: 0.5,
      maxLoadsPerRank: 2,
    },
    firstMap: { version: 1, layers: [packLayer(evenCounts, RANKS, 6)] },
  },
  clock,
  store,
  peers,
  { read: async () => Ok({ layers: [counts], endMs: clock.getNow() }) },
);

/** Advances the clock until the work is done. The store answers when it ticks. */
async function advanceUntilDone(work: Promise<void>): Promise<void> {
  let isDone = false;
  void work.then(() => {
    isDone = true;
  });
  while (!isDone) {
    clock.advance(1);
    store.tick();
    await new Promise(setImmediate);
  }
}

let step = 0;
let previousVersion = -1;
let mixedSteps = 0;

/** Returns whether all engines may run the current step. */
function isGranted(): boolean {
  return engines.every((engine) => engine.until >= step);
}

/** Lists the map versions that the engines use at the current step. */
function listVersions(): Set<number> {
  return new Set(engines.map((engine) => engine.getVersion(step)));
}

/** Runs a number of rounds; a round runs one step if all engines have a grant for it. */
async function runSteps(rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round += 1) {
    clock.advance(STEP_MS);
    await advanceUntilDone(planner.tick());
    for (const role of roles) await advanceUntilDone(role.tick());
    if (!isGranted()) continue;
    const versions = listVersions();
    if (versions.size > 1) mixedSteps += 1;
    const [version = -1] = versions;
    if (version !== previousVersion) process.stdout.write(`step ${step}: map ${version}\n`);
    previousVersion = version;
    step += 1;
    for (const role of roles) role.handleStep(step);
  }
}

await runSteps(20);
counts = skewedCounts;
await runSteps(100);
process.stdout.write(`${step} steps, ${mixedSteps} of them with two maps\n`);
