import { setTimeout as sleep } from 'node:timers/promises';
import { Client } from '../lib-3/Client.js';
import { StoreServer } from '../lib-3/StoreServer.js';
import { WorkerServer } from '../lib-3/WorkerServer.js';
import { buildConfig } from '../lib-3/buildConfig.js';
import { runCase } from '../lib-3/runCase.js';

/** The users' `drain_ms`. */
const DRAIN_MS = 2000;

/** The users' `stable_window_ms`. */
const STABLE_MS = 3000;

const ENTRIES = 2;

const WORKERS = 3;

const ROUNDS = 3;

/** After the rounds that are judged, the watches are cut again and again in one more. */
const REPEATED_CUTS = 6;

const CUT_INTERVAL_MS = 1500;

/** From the cut of the watches to the removal of a worker's registration. */
const CUT_TO_REMOVAL_MS = 1050;

/** How long a worker serves after `DRAIN_MS`; then it exits. */
const LONGER_MS = 300;

const WORK_MS = 100;

const CLIENTS_PER_ENTRY = 4;

const PAUSE_MS = 15;

await runCase(import.meta.url, async ({ deployment, recorder, hasTrouble, addCloser }) => {
  const store = new StoreServer(deployment.assignHost());
  addCloser(() => store.close());
  store.put('op/config', buildConfig(1));
  const workers = [];
  const addWorker = async () => {
    const id = `worker-${workers.length + 1}`;
    const host = deployment.assignHost();
    const worker = new WorkerServer({ id, host, store, service: 'orders', workMs: WORK_MS });
    workers.push(worker);
    await worker.start();
    addCloser(() => worker.close());
    return worker;
  };
  for (let at = 0; at < WORKERS; at += 1) await addWorker();
  for (let at = 0; at < ENTRIES; at += 1) deployment.start(await deployment.addEntry(store));
  for (const entry of deployment.entries) await deployment.waitUntilReady(entry);

  let isOver = false;
  const clients = [];
  const loops = [];
  const sendUntilOver = async (client, at) => {
    while (!isOver) {
      const isOrder = at % 2 === 0;
      await client.send(
        isOrder ? { method: 'POST', path: '/order/1', body: 'a booking' } : { path: '/lookup/1' },
      );
      await sleep(PAUSE_MS);
    }
    client.close();
  };
  for (const entry of deployment.entries) {
    for (let at = 1; at <= CLIENTS_PER_ENTRY; at += 1) {
      const client = new Client({ entry, name: `${entry.name}-client-${at}` });
      clients.push(client);
      loops.push(sendUntilOver(client, at));
    }
  }
  // All processes and the store are calm for longer than the stable window.
  await sleep(STABLE_MS + 2000);

  const rounds = [];
  for (let round = 1; round <= ROUNDS; round += 1) {
    const worker = workers[round - 1];
    const cutMs = performance.now();
    if (hasTrouble) {
      const count = store.cutWatches();
      recorder.add(`round ${round}: the store cuts ${count} waiting watches`, cutMs);
    }
    await sleep(CUT_TO_REMOVAL_MS);
    worker.unregister();
    const ackMs = performance.now();
    recorder.add(`round ${round}: the store has removed servers/${worker.id}`, ackMs);
    await sleep(DRAIN_MS + LONGER_MS);
    worker.close();
    recorder.add(`round ${round}: ${worker.id} has exited`);
    rounds.push({ round, worker, cutMs, ackMs });
    await addWorker();
    await sleep(STABLE_MS + 1000);
  }
  const cutAgain = async () => {
    for (let cut = 0; hasTrouble && cut < REPEATED_CUTS; cut += 1) {
      store.cutWatches();
      await sleep(CUT_INTERVAL_MS);
    }
  };
  const lastWorker = workers[ROUNDS];
  const cuts = cutAgain();
  await sleep(CUT_TO_REMOVAL_MS);
  const removedMs = performance.now();
  lastWorker.unregister();
  await cuts;
  await sleep(STABLE_MS);
  const late = lastWorker.arrivals.filter(({ atMs }) => atMs > removedMs);
  const latestMs = late.length === 0 ? 0 : late[late.length - 1].atMs - removedMs;
  recorder.print(
    `not judged: with a cut each ${CUT_INTERVAL_MS} ms, ${lastWorker.id} got ${late.length} ` +
      `requests after its removal, the last ${Math.round(latestMs)} ms after it`,
  );
  isOver = true;
  await Promise.all(loops);

  const sent = new Map();
  for (const { requests } of clients) for (const request of requests) sent.set(request.id, request);
  const violations = [];
  for (const { round, worker, cutMs, ackMs } of rounds) {
    const after = worker.arrivals.filter(({ atMs }) => atMs > ackMs);
    const last = after[after.length - 1];
    const lost = after.filter(({ id, atMs }) => {
      const request = sent.get(id);
      return (
        atMs > ackMs + DRAIN_MS && request.path.startsWith('/order/') && request.status !== 200
      );
    });
    recorder.print(
      `round ${round}: ${worker.id} got ${after.length} requests after its removal, the last ` +
        `${last === undefined ? '-' : Math.round(last.atMs - ackMs)} ms after it; ` +
        `${lost.length} orders that it got after drain_ms were lost with it`,
    );
    for (const { id, atMs } of after) {
      // The entry counts as in touch from then on even if the cut were a reset of its channels.
      if (atMs <= ackMs + DRAIN_MS || atMs <= cutMs + STABLE_MS) continue;
      const request = sent.get(id);
      violations.push(
        `DRAIN, round ${round}: ${id} (sent at ${recorder.format(request.sentMs)}, answered ` +
          `${request.status}) reached ${worker.id} ${Math.round(atMs - ackMs)} ms after the store ` +
          `had removed it`,
      );
      recorder.add(`${id} reached ${worker.id}`, atMs);
    }
  }
  const outcomes = new Map();
  for (const { status, cause } of sent.values()) {
    const name = `${status ?? '-'} ${cause}`;
    outcomes.set(name, (outcomes.get(name) ?? 0) + 1);
  }
  for (const [name, count] of outcomes) {
    recorder.print(`requests that ended with ${name}: ${count}`);
  }
  recorder.addTraffic(clients, workers);
  return violations;
});
