import {
  ClaimLedger,
  SeededRandom,
  hashRequest,
  type ClaimOutcome,
  type Incarnation,
  type InstanceId,
  type ServiceName,
  type Workspace,
} from '@limpetbay/core';
import { MemoryStore } from '@limpetbay/standins';
import { EventQueue } from '../atMostOnce/EventQueue.js';

interface ClaimRateLoad {
  readonly seed: number;
  readonly agents: number;
  /** Keyed requests per second over all agents, each with a new key. */
  readonly requestsPerSecond: number;
  /** Store writes per second for the service. */
  readonly budget: number;
}

interface ClaimRate {
  readonly writesPerSecond: number;
  readonly writesPerRequest: number;
  readonly callsPerRequest: number;
  /** 95th percentile of the time from a request to its confirmed claim. */
  readonly claimDelayMs: number;
  /** Share of requests whose claim was confirmed. */
  readonly claimedShare: number;
}

const WARM_UP_MS = 5000;

const MEASURED_MS = 20_000;

const TICK_MS = 5;

const RUN_MS = 50;

/** Offers keyed requests to the ledgers of a service and counts the calls at the store. */
export async function measureClaimRate(load: ClaimRateLoad): Promise<ClaimRate> {
  const { agents, requestsPerSecond, budget } = load;
  const queue = new EventQueue();
  const random = new SeededRandom(load.seed);
  const store = new MemoryStore(queue.clock, random);
  store.setFaults({ latencyMs: [3, 8] });
  queue.attachSource(store);
  const outcome: ClaimOutcome = { status: 201, headers: [], body: new Uint8Array(400) };
  const bodyHash = hashRequest('POST', '/bookings', new Uint8Array(400));
  const delaysMs: number[] = [];
  let offered = 0;
  const ledgers: ClaimLedger[] = [];
  for (let index = 0; index < agents; index += 1) {
    const ledger = new ClaimLedger({
      store,
      clock: queue.clock,
      random,
      service: 'bookings' as ServiceName,
      owner: { instance: `a${index}` as InstanceId, incarnation: 1 as Incarnation },
      owners: { hasEnded: () => false },
      writesPerSecond: budget / agents,
    });
    const runTick = () => {
      ledger.tick();
      queue.schedule(TICK_MS, runTick);
    };
    queue.schedule((TICK_MS * index) / agents, runTick);
    ledgers.push(ledger);
  }
  const sendNext = () => {
    const now = queue.clock.getNow();
    const ledger = ledgers[Math.floor(random.next() * agents)] as ClaimLedger;
    const isMeasured = now >= WARM_UP_MS && now < WARM_UP_MS + MEASURED_MS;
    offered += 1;
    const request = {
      workspace: 'estate' as Workspace,
      key: `k${offered}`,
      keyTimeMs: 0,
      bodyHash,
      attemptId: `r${offered}#1`,
      deadlineAtMs: now + 30_000,
    };
    void ledger.begin(request).then((begun) => {
      if (begun.err || begun.val.type !== 'run') return;
      const { claim } = begun.val;
      if (isMeasured) delaysMs.push(queue.clock.getNow() - now);
      if (ledger.startRun(claim).err) return;
      queue.schedule(RUN_MS, () => ledger.complete(claim, outcome));
    });
    queue.schedule((-Math.log(1 - random.next()) * 1000) / requestsPerSecond, sendNext);
  };
  queue.schedule(0, sendNext);
  await queue.run(WARM_UP_MS);
  const before = { ...store.getCounts(), offered };
  await queue.run(WARM_UP_MS + MEASURED_MS);
  const after = { ...store.getCounts(), offered };
  const requests = after.offered - before.offered;
  const writes = after.writes - before.writes;
  const others = after.reads + after.comparisons + after.leases;
  const othersBefore = before.reads + before.comparisons + before.leases;
  await queue.run(WARM_UP_MS + MEASURED_MS + 4000);
  delaysMs.sort((a, b) => a - b);
  return {
    writesPerSecond: (writes * 1000) / MEASURED_MS,
    writesPerRequest: writes / requests,
    callsPerRequest: (writes + others - othersBefore) / requests,
    claimDelayMs: delaysMs[Math.floor(delaysMs.length * 0.95)] ?? Infinity,
    claimedShare: delaysMs.length / requests,
  };
}
