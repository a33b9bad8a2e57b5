import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';
import { SimulatedFleet } from './config/SimulatedFleet.js';
import { createBaseline } from './config/createBaseline.js';
import { measureChanges } from './config/measureChanges.js';

const SEED = 410_2300;
const ENTRIES = 410;
const AGENTS = 2300;
const ZONES = 8;
/** A change must be in force everywhere within this time. */
const LIMIT_MS = 3000;
const CHANGES = 5;
const CHANGE_INTERVAL_MS = 400;
const OUTAGE_MS = 20_000;
const SETTLE_MS = 5000;
const MS_PER_SECOND = 1000;
const CHANGES_PER_DAY = 3500;
const SECONDS_PER_DAY = 86_400;
/** gRPC and HTTP/2 frame headers, TCP and IP headers. */
const FRAME_BYTES = 54;
/** A heartbeat is 20 bytes of protocol buffers. */
const HEARTBEAT_BYTES = FRAME_BYTES + 20;
const STORE_MS = 4;
/** Every such process is restarted during the outage. */
const RESTART_STEP = 20;
const SLOW_STORE_MS = 900;
/** Longer than a measurement, so that a paused process does not run during it. */
const PAUSE_MS = 6000;
/** Divisors of the fleet for the count of calls over its size. */
const SIZES = [10, 4, 2, 1];

function createFleet(divisor = 1): SimulatedFleet {
  const entries = Math.round(ENTRIES / divisor);
  const agents = Math.round(AGENTS / divisor);
  return new SimulatedFleet({ seed: SEED, entries, agents, zones: ZONES });
}

/** Writes several changes, waits until the last one is due, and compares. */
function measureFleet(name: string, fleet: SimulatedFleet, disturb: () => void): BenchResult[] {
  const writes: { revision: number; at: number }[] = [];
  for (let change = 0; change < CHANGES; change += 1) {
    const at = fleet.timeline.clock.getNow();
    writes.push({ revision: fleet.write(), at });
    if (change === 0) disturb();
    fleet.timeline.advance(CHANGE_INTERVAL_MS);
  }
  fleet.timeline.advance(LIMIT_MS + CHANGE_INTERVAL_MS);
  const { share, delayMs } = measureChanges(fleet.listRunning(), writes, LIMIT_MS);
  return [
    createResult(`config_in_force_${name}`, SEED, share, 'share within 3 s'),
    createResult(`config_delay_${name}`, SEED, delayMs, 'ms at 99.9%'),
  ];
}

/** One fleet passes through all faults, since its start is the longest part of the bench. */
function measureScenarios(fleet: SimulatedFleet): BenchResult[] {
  const { store, timeline } = fleet;
  const results = measureFleet('healthy', fleet, () => undefined);
  store.setLatency(SLOW_STORE_MS);
  timeline.advance(SETTLE_MS);
  results.push(...measureFleet('store_slow', fleet, () => undefined));
  store.setLatency(STORE_MS);
  timeline.advance(SETTLE_MS);
  const endSome = (): void => {
    store.stopWatches(0, 3);
    store.endWatches(1, 3);
  };
  results.push(...measureFleet('watches_lapsed', fleet, endSome));
  timeline.advance(SETTLE_MS);
  results.push(...measureFleet('watches_silent', fleet, () => store.stopWatches(0, 1)));
  timeline.advance(SETTLE_MS);
  // The paused processes themselves cannot follow; they are compared after they have woken.
  const paused = fleet.listRelays().filter((_, index) => index % 3 === 1);
  const sleepSome = (): void => {
    for (const relay of paused) relay.sleep(PAUSE_MS);
  };
  results.push(...measureFleet('relays_paused', fleet, sleepSome));
  const woken = { revision: fleet.getRevision(), at: timeline.clock.getNow() };
  timeline.advance(SETTLE_MS);
  const { share } = measureChanges(paused, [woken], LIMIT_MS);
  results.push(createResult('config_in_force_woken', SEED, share, 'share within 3 s'));
  // A third of the relays, every other one without a word, as when a machine is lost.
  const lost = fleet.listRelays().filter((_, index) => index % 3 === 0);
  const stopSome = (): void => {
    for (const [index, relay] of lost.entries()) relay.stop(index % 2 === 0);
  };
  results.push(...measureFleet('relays_dead', fleet, stopSome));
  for (const { record } of lost) fleet.start(record);
  timeline.advance(SETTLE_MS);
  const zone = fleet.listRelays().filter(({ record }) => record.zone === 'z0');
  const stopZone = (): void => {
    for (const relay of zone) relay.stop(true);
  };
  results.push(...measureFleet('zone_relays_dead', fleet, stopZone));
  for (const { record } of zone) fleet.start(record);
  timeline.advance(SETTLE_MS);
  return results;
}

function measureOutage(fleet: SimulatedFleet): BenchResult[] {
  const { timeline, store } = fleet;
  const base = createBaseline(SEED, ENTRIES + AGENTS);
  const startedAt = timeline.clock.getNow();
  const baseStartedAt = base.timeline.clock.getNow();
  store.setOutage(true);
  base.store.setOutage(true);
  timeline.advance(OUTAGE_MS / 2);
  // Restarts during the outage must learn the documents from other processes.
  const restarted = fleet.listRunning().filter((_, index) => index % RESTART_STEP === 0);
  const again = restarted.map((process) => {
    process.stop(false);
    return fleet.start(process.record);
  });
  timeline.advance(LIMIT_MS);
  const ready = again.filter(({ node }) => node.follower.getFreshness().ready).length;
  timeline.advance(OUTAGE_MS / 2);
  base.timeline.advance(OUTAGE_MS);
  const peakInOutage = store.getPeakCalls(startedAt);
  const baseInOutage = base.store.getPeakCalls(baseStartedAt);
  const returnedAt = timeline.clock.getNow();
  const baseReturnedAt = base.timeline.clock.getNow();
  store.setOutage(false);
  base.store.setOutage(false);
  const results = measureFleet('store_returns', fleet, () => undefined);
  base.timeline.advance(SETTLE_MS);
  const peak = store.getPeakCalls(returnedAt);
  const basePeak = base.store.getPeakCalls(baseReturnedAt);
  return [
    ...results,
    createResult('config_restart_in_outage', SEED, ready / again.length, 'share ready in 3 s'),
    createResult('config_peak_in_outage', SEED, peakInOutage, 'store calls/s', baseInOutage),
    createResult('config_peak_at_return', SEED, peak, 'store calls/s', basePeak),
  ];
}

/** Counts the calls that one change costs the store: the accept and each waiting watch. */
function countCalls(
  store: SimulatedFleet['store'],
  timeline: SimulatedFleet['timeline'],
  write: () => void,
): number {
  const startedAt = timeline.clock.getNow();
  write();
  timeline.advance(LIMIT_MS);
  return store.countWatches() + store.countCalls(startedAt, timeline.clock.getNow());
}

/**
 * Computes the load of the busiest relay: its heartbeats, counted, and 3,500 changes a day of the
 * document of the bench to each of its followers.
 */
function measureRelay(fleet: SimulatedFleet): BenchResult {
  const running = fleet.listRunning();
  const before = running.map((process) => process.countHeartbeats());
  fleet.timeline.advance(SETTLE_MS);
  const documentBytes = fleet.getDocumentBytes() + FRAME_BYTES;
  const changesPerSecond = CHANGES_PER_DAY / SECONDS_PER_DAY;
  let busiest = 0;
  for (const [index, process] of running.entries()) {
    const heartbeats = process.countHeartbeats() - (before[index] as number);
    const followers = process.node.feed.countFollowers();
    const bytes =
      (heartbeats * HEARTBEAT_BYTES) / (SETTLE_MS / MS_PER_SECOND) +
      followers * documentBytes * changesPerSecond;
    busiest = Math.max(busiest, bytes);
  }
  return createResult('config_relay_bytes', SEED, busiest, 'bytes/s');
}

function measureCalls(whole: SimulatedFleet): BenchResult[] {
  const results: BenchResult[] = [];
  const counts: number[] = [];
  for (const divisor of SIZES) {
    const fleet = divisor === 1 ? whole : createFleet(divisor);
    const size = fleet.listRunning().length;
    const calls = countCalls(fleet.store, fleet.timeline, () => fleet.write());
    const base = createBaseline(SEED, size);
    const baseCalls = countCalls(base.store, base.timeline, () => base.store.write('x', '{}'));
    counts.push(calls);
    results.push(createResult(`config_calls_${size}`, SEED, calls, 'calls/change', baseCalls));
  }
  const growth = (counts[counts.length - 1] as number) / (counts[0] as number);
  const fleetGrowth = (SIZES[0] as number) / (SIZES[SIZES.length - 1] as number);
  results.push(
    createResult('config_calls_growth', SEED, growth / fleetGrowth, 'growth of calls / of fleet'),
  );
  return results;
}

/** Documents to the whole fleet at design size, under an injected clock. */
export const configBench: Bench = {
  name: 'config',
  deterministic: true,
  run: async () => {
    const fleet = createFleet();
    const calls = measureCalls(fleet);
    return [...calls, measureRelay(fleet), ...measureScenarios(fleet), ...measureOutage(fleet)];
  },
};
