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
const calm = Array.from({ length: 16 }, () => 1000);
const hot = calm.map((tokens, expert) => (expert === 0 ? 9000 : tokens));

const clock = new ManualClock();
const store = new MemoryStore(clock, new SeededRandom(1));

/** The engine of one rank: what it was granted, and its maps with their first steps. */
class ExampleEngine implements EngineControl {
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

// The ranks run in one process here; agents call each other instead.
const peers: GroupPeers = {
  prepare: async (rank, request) => Ok(roles[rank]!.handlePrepare(request)),
  promise: async (rank, record) => Ok(roles[rank]!.handlePromise(record)),
  sendDecision: async (rank, record) => Ok(roles[rank]!.handleDecision(record)),
  requestRecovery: async (rank, asker) =>
    Ok(roles[rank]!.handleRecoveryRequest(asker.rank, asker.incarnation)),
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

let counts = calm;
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
    firstMap: { version: 1, layers: [packLayer(calm, RANKS, 6)] },
  },
  clock,
  store,
  peers,
  { read: async () => Ok({ layers: [counts], endMs: clock.getNow() }) },
);

/** Lets time pass until the work is done; the store answers on its ticks. */
async function finish(work: Promise<void>): Promise<void> {
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
let lastVersion = -1;
let mixedSteps = 0;

function isGranted(): boolean {
  return engines.every((engine) => engine.until >= step);
}

function readVersions(): Set<number> {
  return new Set(engines.map((engine) => engine.getVersion(step)));
}

async function runSteps(limit: number): Promise<void> {
  for (let round = 0; round < limit; round += 1) {
    clock.advance(STEP_MS);
    await finish(planner.tick());
    for (const role of roles) await finish(role.tick());
    if (!isGranted()) continue;
    const versions = readVersions();
    if (versions.size > 1) mixedSteps += 1;
    const [version = -1] = versions;
    if (version !== lastVersion) process.stdout.write(`step ${step}: map ${version}\n`);
    lastVersion = version;
    step += 1;
    for (const role of roles) role.handleStep(step);
  }
}

await runSteps(20);
counts = hot;
await runSteps(100);
process.stdout.write(`${step} steps, ${mixedSteps} of them with two maps\n`);
