import { buildConfig } from '../lib/buildConfig.js';
import { callEntry } from '../lib/callEntry.js';
import { createStore } from '../lib/createStore.js';
import { CrashingWorker } from '../lib/CrashingWorker.js';
import { runCase } from '../lib/runCase.js';
import { sleep } from '../lib/sleep.js';

const STABLE_WINDOW_MS = 3000;

/** Crashes after which the rule counts, and requests that it then allows. */
const CRASHES = 5;
const MAX_REQUESTS = 3;

/** Prompt part that crashes workers, and one that does not. */
const DEADLY_PART = 'dead01';
const SOUND_PART = '50f701';

/** Events of an answer that a worker writes before it crashes. */
const EVENTS_BEFORE_CRASH = Number(process.env.EVENTS ?? 2);

/**
 * With `SAME_REQUEST=1` the same request comes again and again, and what crashes workers is its own
 * part, which no other request shares.
 */
const isSameRequest = process.env.SAME_REQUEST === '1';

const NOTE_MS = 1000;
const CLIENTS = 6;
const PAUSE_MS = 300;
const BEFORE_MS = 3000;
const RUN_MS = 40_000;

async function run(deployment, isTroubled) {
  const store = await createStore(deployment.assignHost());
  const crashMs = [];
  const deadlyRuns = [];
  for (const id of ['worker-1', 'worker-2', 'worker-3', 'worker-4']) {
    const worker = new CrashingWorker({
      host: deployment.assignHost(),
      id,
      store,
      part: DEADLY_PART,
      eventsBeforeCrash: EVENTS_BEFORE_CRASH,
      onRun: ({ id: requestId, isDeadly }) => {
        if (!isDeadly) return;
        deadlyRuns.push({ id: requestId, ms: performance.now() });
        deployment.record(`${id}: begins ${requestId}, which has the deadly part`);
      },
      onCrash: () => {
        crashMs.push(performance.now());
        deployment.record(`${id}: crash ${crashMs.length}`);
      },
    });
    await worker.start();
  }
  store.put('op/config', buildConfig(1));
  const addresses = [];
  for (const name of ['front-1', 'front-2']) {
    const entry = await deployment.startMachine('entry', name, store);
    await deployment.waitUntilReady(entry);
    addresses.push(`${entry.host}:${entry.ports.front}`);
  }

  const endMs = performance.now() + BEFORE_MS + RUN_MS;
  let notes = 0;
  const takeNote = async (address, part) => {
    notes += 1;
    const own = (0xabc000 + notes).toString(16);
    const isAlone = isSameRequest && part === DEADLY_PART;
    return callEntry({
      address,
      path: '/note/a',
      method: 'POST',
      limitMs: 8000,
      headers: { 'X-Limpetbay-Prompt-Prefix': isAlone ? `${part}:40` : `${part}:40,${own}:600` },
    });
  };
  const sound = [];
  const clients = Array.from({ length: CLIENTS }, async (_, client) => {
    while (performance.now() < endMs) {
      sound.push(await takeNote(addresses[client % addresses.length], SOUND_PART));
      await sleep(PAUSE_MS * (0.5 + Math.random()));
    }
  });
  await sleep(BEFORE_MS);
  const pending = [];
  const sentMs = new Map();
  const takeDeadlyNote = async (address) => {
    const startMs = performance.now();
    const { id, outcome, status } = await takeNote(address, isTroubled ? DEADLY_PART : SOUND_PART);
    sentMs.set(id, startMs);
    deployment.record(`note ${id}: ${outcome} ${status ?? ''}`);
  };
  for (let sent = 0; performance.now() < endMs; sent += 1) {
    pending.push(takeDeadlyNote(addresses[sent % addresses.length]));
    await sleep(NOTE_MS);
  }
  await Promise.all([...clients, ...pending]);
  store.close();
  const fromMs = (crashMs[CRASHES - 1] ?? Infinity) + STABLE_WINDOW_MS;
  const late = deadlyRuns.filter(({ ms }) => ms > fromMs);
  const cut = sound.filter(({ outcome }) => outcome !== 'answered');
  return {
    isBroken: late.length > MAX_REQUESTS,
    summary:
      `${crashMs.length} crashes; ${late.length} requests with the deadly part reached workers ` +
      `later than ${STABLE_WINDOW_MS} ms after the fifth (${MAX_REQUESTS} allowed); ` +
      `${cut.length} of ${sound.length} sound streams were cut`,
  };
}

await runCase(new URL('record.txt', import.meta.url).pathname, run);
