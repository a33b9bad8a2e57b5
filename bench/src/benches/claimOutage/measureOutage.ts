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

interface OutageLoad {
  readonly seed: number;
  readonly outage: 'down' | 'silent';
  readonly outageMs: number;
  /** Whether entries send a repeated key to the agent that had it first. */
  readonly hasAffinity: boolean;
}

interface OutageShares {
  /** Share of new keys that were run, of those that arrived in the outage. */
  readonly newKeys: number;
  /** Share of repeated keys that were replayed. */
  readonly repeatedKeys: number;
  /** Longest wait of a refused request. */
  readonly longestRefusalMs: number;
  /** Mean number of requests that waited for the store. */
  readonly meanWaiting: number;
}

const AGENTS = 3;

const REQUESTS_PER_SECOND = 50;

const REPEATED_SHARE = 0.2;

const START_MS = 20_000;

const TICK_MS = 10;

const DEADLINE_MS = 10_000;

/** Offers new and repeated keys to three ledgers while the store is out. */
export async function measureOutage(load: OutageLoad): Promise<OutageShares> {
  const queue = new EventQueue();
  const random = new SeededRandom(load.seed);
  const store = new MemoryStore(queue.clock, random);
  store.setFaults({ latencyMs: [3, 8] });
  queue.attachSource(store);
  const outcome: ClaimOutcome = { status: 201, headers: [], body: new Uint8Array(400) };
  const bodyHash = hashRequest('POST', '/bookings', new Uint8Array(400));
  const counts = { newKeys: 0, newServed: 0, repeated: 0, replayed: 0, waitedMs: 0 };
  let longestRefusalMs = 0;
  let offered = 0;
  const ledgers: ClaimLedger[] = [];
  for (let index = 0; index < AGENTS; index += 1) {
    const ledger = new ClaimLedger({
      store,
      clock: queue.clock,
      random,
      service: 'bookings' as ServiceName,
      owner: { instance: `a${index}` as InstanceId, incarnation: 1 as Incarnation },
      owners: { hasEnded: () => false },
      writesPerSecond: 60,
    });
    const runTick = () => {
      ledger.tick();
      queue.schedule(TICK_MS, runTick);
    };
    queue.schedule(index, runTick);
    ledgers.push(ledger);
  }
  const owners: number[] = [];
  const submit = (key: number, agent: number, isRepeat: boolean) => {
    const now = queue.clock.getNow();
    const isMeasured = now >= START_MS && now < START_MS + load.outageMs;
    const ledger = ledgers[agent] as ClaimLedger;
    if (isMeasured) counts[isRepeat ? 'repeated' : 'newKeys'] += 1;
    const request = {
      workspace: 'estate' as Workspace,
      key: `k${key}`,
      keyTimeMs: 0,
      bodyHash,
      attemptId: `r${offered}#1`,
      deadlineAtMs: now + DEADLINE_MS,
    };
    void ledger.begin(request).then((begun) => {
      const waitedMs = queue.clock.getNow() - now;
      if (isMeasured) counts.waitedMs += waitedMs;
      if (begun.err) {
        if (isMeasured) longestRefusalMs = Math.max(longestRefusalMs, waitedMs);
        return;
      }
      if (isMeasured) counts[isRepeat ? 'replayed' : 'newServed'] += 1;
      if (begun.val.type !== 'run') return;
      const { claim } = begun.val;
      if (ledger.startRun(claim).ok) {
        queue.schedule(50, () => ledger.complete(claim, outcome));
      }
    });
  };
  const sendNext = () => {
    const drawn = Math.floor(random.next() * AGENTS);
    // Only keys from before the outage are repeated, because the others were mostly refused.
    const isKnown = owners.length > 0 && queue.clock.getNow() > 1000;
    if (isKnown && random.next() < REPEATED_SHARE) {
      const key = Math.floor(random.next() * owners.length);
      submit(key, load.hasAffinity ? (owners[key] as number) : drawn, true);
    } else {
      offered += 1;
      if (queue.clock.getNow() < START_MS - 1000) owners[offered - 1] = drawn;
      submit(offered - 1, drawn, false);
    }
    queue.schedule((-Math.log(1 - random.next()) * 1000) / REQUESTS_PER_SECOND, sendNext);
  };
  queue.schedule(0, sendNext);
  queue.schedule(START_MS, () => store.setFaults({ outage: load.outage }));
  queue.schedule(START_MS + load.outageMs, () => store.setFaults({ outage: 'none' }));
  await queue.run(START_MS + load.outageMs + DEADLINE_MS + 1000);
  return {
    newKeys: counts.newServed / counts.newKeys,
    repeatedKeys: counts.replayed / counts.repeated,
    longestRefusalMs,
    meanWaiting: counts.waitedMs / load.outageMs,
  };
}
