import { buildConfig } from '../lib/buildConfig.js';
import { buildRegistration } from '../lib/buildRegistration.js';
import { callEntry } from '../lib/callEntry.js';
import { createProxy } from '../lib/createProxy.js';
import { createStore } from '../lib/createStore.js';
import { createWorker } from '../lib/createWorker.js';
import { runCase } from '../lib/runCase.js';
import { sleep } from '../lib/sleep.js';

/** Bounds of the small deployments, milliseconds. */
const CONFIG_APPLY_MS = 2000;
const STABLE_WINDOW_MS = 3000;

/** Pause of a client between two requests, milliseconds. */
const PAUSE_MS = 50;

/** Channels to the store that have carried nothing for so long are lost, milliseconds. */
const IDLE_MS = 2000;

const SETTLE_MS = 1500;
const BEFORE_LOSS_MS = 2600;
const AFTER_TOUCH_MS = 300;
const AFTER_CHANGE_MS = 9000;

async function run(deployment, isTroubled) {
  const ranById = new Map();
  const store = await createStore(deployment.assignHost());
  const proxy = await createProxy(deployment.assignHost(), store.address);
  for (const id of ['worker-1', 'worker-2', 'worker-3']) {
    const worker = await createWorker({
      host: deployment.assignHost(),
      id,
      onRun: (request) => ranById.set(request.id, performance.now()),
    });
    store.put(`servers/${id}`, buildRegistration(worker.address));
  }
  store.put('op/config', buildConfig(1));
  const addresses = [];
  for (const name of ['front-1', 'front-2']) {
    const entry = await deployment.startMachine('entry', name, proxy);
    await deployment.waitUntilReady(entry);
    addresses.push(`${entry.host}:${entry.ports.front}`);
  }
  let isOver = false;
  const answers = [];
  const lookUp = async (address) => {
    while (!isOver) {
      answers.push({ address, ...(await callEntry({ address, path: '/lookup/a', key: 'key-2' })) });
      await sleep(PAUSE_MS);
    }
  };
  const clients = addresses.map((address) => lookUp(address));
  await sleep(SETTLE_MS);

  const withBoth = [{ name: 'tenant-1', api_keys: ['key-1', 'key-2'] }];
  const withoutSecond = [{ name: 'tenant-1', api_keys: ['key-1'] }];
  store.put('op/config', buildConfig(4, { tenants: withBoth }));
  deployment.record('operator: version 4 acknowledged');
  await sleep(BEFORE_LOSS_MS);
  if (isTroubled) {
    const { silent, working } = proxy.silenceIdle(IDLE_MS);
    deployment.record(`${silent} channels to the store went silent, ${working} work on`);
  }
  await sleep(STABLE_WINDOW_MS + AFTER_TOUCH_MS);
  store.put('op/config', buildConfig(7, { tenants: withoutSecond }));
  const ackMs = performance.now();
  deployment.record('operator: version 7 without key-2 acknowledged');
  await sleep(AFTER_CHANGE_MS);
  isOver = true;
  await Promise.all(clients);
  store.close();
  proxy.close();

  const late = answers.filter(({ startMs }) => startMs > ackMs + CONFIG_APPLY_MS);
  const broken = late.filter(({ id, status }) => ranById.has(id) || status === 200);
  for (const address of addresses) {
    const own = broken.filter((answer) => answer.address === address);
    const lastMs = Math.max(0, ...own.map(({ startMs }) => startMs - ackMs));
    deployment.record(
      `${address}: ${own.length} requests with key-2 that were sent later than ` +
        `${CONFIG_APPLY_MS} ms after the ack ran, the last ${Math.round(lastMs)} ms after it`,
    );
  }
  return {
    isBroken: broken.length > 0,
    summary: `${broken.length} of ${late.length} requests with a dropped key ran`,
  };
}

await runCase(new URL('record.txt', import.meta.url).pathname, run);
