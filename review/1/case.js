import { Agent } from 'node:http';
import { buildConfig } from '../lib/buildConfig.js';
import { buildRegistration } from '../lib/buildRegistration.js';
import { callEntry } from '../lib/callEntry.js';
import { createStore } from '../lib/createStore.js';
import { createWorker } from '../lib/createWorker.js';
import { runCase } from '../lib/runCase.js';
import { sleep } from '../lib/sleep.js';
import { startBadWorker } from '../lib/startBadWorker.js';

/** Clients of each entry that look something up, each on one channel that it keeps. */
const CLIENTS = 24;

/** Mean pause of a client between two requests, milliseconds. */
const PAUSE_MS = 150;

const WORK_MS = 200;
const BEFORE_MS = 3000;
const AFTER_MS = 6000;

/** Delay after which the platform starts a process that has ended again, milliseconds. */
const RESTART_MS = 500;

/** Requests that the rule LOST allows. */
const MAX_LOST = 3;

const here = (name) => new URL(name, import.meta.url).pathname;

async function run(deployment, isTroubled) {
  const soundRuns = new Set();
  const store = await createStore(deployment.assignHost());
  const bad = await startBadWorker(deployment, 'worker-bad');
  const workers = [bad];
  for (const id of ['worker-1', 'worker-2']) {
    const host = deployment.assignHost();
    const onRun = (request) => soundRuns.add(request.id);
    workers.push(await createWorker({ host, id, workMs: WORK_MS, onRun }));
  }
  for (const { id, address } of workers) store.put(`servers/${id}`, buildRegistration(address));
  store.put('op/config', buildConfig(1));
  const entries = [];
  for (const name of ['front-1', 'front-2']) {
    entries.push(await deployment.startMachine('entry', name, store));
  }
  let ends = 0;
  const watchEnd = (entry) =>
    entry.child.once('exit', async () => {
      ends += 1;
      for (const line of entry.log.slice(-400)) {
        if (/FATAL/.test(line)) deployment.record(`${entry.name}: ${line}`);
      }
      await sleep(RESTART_MS);
      deployment.launch(entry);
      watchEnd(entry);
    });
  for (const entry of entries) {
    await deployment.waitUntilReady(entry);
    watchEnd(entry);
  }
  const addresses = entries.map(({ host, ports }) => `${host}:${ports.front}`);

  let isOver = false;
  const answers = [];
  const lookUp = async (address) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver) {
      const answer = await callEntry({ address, path: '/lookup/a', agent });
      answers.push(answer);
      const { id, status, outcome, cause, isKept } = answer;
      if (status !== 200 && cause !== 'ECONNREFUSED') {
        const where = soundRuns.has(id) ? 'run by a sound worker' : 'not run by a sound worker';
        const how = `${outcome} ${status ?? cause}, ${isKept ? 'kept' : 'new'} channel`;
        deployment.record(`lookup ${id}: ${how}, ${where}`);
      }
      await sleep(PAUSE_MS * (0.5 + Math.random()));
    }
    agent.destroy();
  };
  const clients = addresses.flatMap((address) =>
    Array.from({ length: CLIENTS }, () => lookUp(address)),
  );
  await sleep(BEFORE_MS);
  for (const address of addresses) {
    if (isTroubled) bad.plan('body', '/order/');
    for (let sent = 0; sent < 6; sent += 1) {
      const order = await callEntry({ address, path: '/order/a', method: 'POST' });
      deployment.record(`order ${order.id}: ${order.outcome} ${order.status ?? order.cause}`);
      await sleep(100);
    }
  }
  await sleep(AFTER_MS);
  isOver = true;
  await Promise.all(clients);
  store.close();
  const lost = answers.filter(
    ({ id, isKept, outcome, status }) =>
      isKept && outcome === 'cut' && status === null && soundRuns.has(id),
  );
  const served = answers.filter(({ status }) => status === 200).length;
  return {
    isBroken: lost.length > MAX_LOST,
    summary:
      `${answers.length} lookups, ${served} served; entries ended by themselves ${ends} times; ` +
      `${lost.length} lookups on kept channels were run by a sound worker and their channels ` +
      `closed without an answer (${MAX_LOST} allowed)`,
  };
}

await runCase(here('record.txt'), run);
