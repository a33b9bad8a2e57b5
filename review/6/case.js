import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment, buildEntrySettings, findPort } from '../lib-2/Deployment.js';
import { GroupStandIn } from '../lib-2/GroupStandIn.js';
import { StoreStandIn } from '../lib-2/StoreStandIn.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

const SIZE = 8;

const ENGINE = {
  capacity: 12,
  kv_capacity: 100_000,
  step_ms: 4.55,
  per_seq_ms: 0.9,
  context_per_k: 0.02,
  read_per_s: 61_400,
  chunk: 512,
  stride: 4,
  link_mbps: 92_000,
  usual: { prompt: 835, answer: 24 },
  sets: 2,
  experts: 64,
  places: 11,
  spare: 4,
  expert_mb: 1700,
  expert_share: 0.85,
};

const COPY_MS = (ENGINE.expert_mb * 8 * 1000) / ENGINE.link_mbps;

/** Callers send streams for a while, then none for a while, whatever the group does. */
const BUSY_MS = 500;
const IDLE_MS = 4500;
const STREAM_GAP_MS = 40;

/** The traffic ends after this time at the latest; without trouble it lasts as long. */
const TRAFFIC_MS = 95_000;
const CALM_TRAFFIC_MS = 60_000;

/** Bounds of the delay of an order that got no answer, as `fleetbench kinds` names them. */
const MIN_LATE_MS = 2000;
const MAX_LATE_MS = 12_000;

/** Arm orders to one rank that get no answer in each later change. */
const MAX_LATE_ARMS = 10;

const LATE_ARM_RANK = SIZE - 2;

const deployment = new Deployment(new URL('record.txt', import.meta.url).pathname);
const store = new StoreStandIn();
const group = new GroupStandIn(SIZE, { ...ENGINE, copyMs: COPY_MS });

let requests = 0;
let answered = 0;
let frontAddress = '';
let violations = 0;
let orders = 0;
let lateOrders = 0;
/** A change whose pass has not begun yet, with its orders that got no answer; null without one. */
let change = null;

function send(host, port) {
  requests += 1;
  const id = `request-${requests}`;
  const socket = connect(port, host);
  let text = '';
  socket.on('data', (data) => {
    text += data;
  });
  socket.on('error', () => {});
  socket.setTimeout(9000, () => socket.destroy());
  socket.on('close', () => {
    const status = /^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 'none';
    if (status === '200') answered += 1;
    if (requests % 20 === 0 || status !== '200') deployment.record(`${id}: answer ${status}`);
  });
  const head = [
    'POST /write/note HTTP/1.1',
    'Host: app.example',
    `X-Limpetbay-Request-Id: ${id}`,
    'X-Limpetbay-Model: m',
    'X-Limpetbay-Token-Counts: 600,24',
    `X-Limpetbay-Prompt-Prefix: 5c1e07a2:40,${requests.toString(16)}:560`,
    'X-Limpetbay-Request-Deadline: 8000',
    'Content-Length: 2',
    'Connection: close',
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\nhi`);
}

function describe(order) {
  const { operation, version, step } = order;
  return [operation, version, step].filter((part) => part !== undefined).join(' ');
}

/** Leaves an order without an answer. @returns a function that carries it out */
function delay(rank, order) {
  lateOrders += 1;
  const atMs = performance.now();
  deployment.record(`rank ${rank.rank}: ${describe(order)} gets no answer`);
  return () => {
    const status = group.apply(rank, order);
    const ms = Math.round(performance.now() - atMs);
    deployment.record(
      `rank ${rank.rank}: ${describe(order)} is carried out ${ms} ms later (${status})`,
    );
  };
}

/** Returns whether an order gets an answer; only some of those of a change of an idle group do not. */
function isAnswered(rank, order) {
  const { operation, version, step } = order;
  if (operation === 'hold' && (change === null || change.step <= group.step)) {
    if (group.hasWork() || change?.go) return true;
    change = { step, holder: rank.rank, version: null, lateVersion: null, lateArms: 0 };
    Object.assign(change, { go: null, goMs: 0 });
    setTimeout(delay(rank, order), MIN_LATE_MS + 100);
    return false;
  }
  if (change === null || step !== change.step) return true;
  if (operation === 'go' && change.go === null && rank.rank === change.holder) {
    change.go = delay(rank, order);
    change.goMs = performance.now();
    return false;
  }
  if (operation !== 'arm') return true;
  change.version ??= version;
  if (version === change.version || rank.rank !== LATE_ARM_RANK) return true;
  if (version !== change.lateVersion) Object.assign(change, { lateVersion: version, lateArms: 0 });
  if (change.lateArms === MAX_LATE_ARMS) return true;
  change.lateArms += 1;
  setTimeout(delay(rank, order), MIN_LATE_MS + 500);
  return false;
}

/** Carries out a late go while a later change of the same pass arms the ranks, or at the latest. */
function carryOutGo() {
  if (change === null || change.go === null) return;
  const lateMs = performance.now() - change.goMs;
  const isArming = group.ranks.some(
    ({ armed }) => armed?.step === change.step && armed.version !== change.version,
  );
  const isMet = isArming && group.hasWork() && group.step < change.step;
  if (lateMs < MIN_LATE_MS || (!isMet && lateMs < MAX_LATE_MS - 500)) return;
  change.go();
  change.go = null;
}

group.onOrder = (rank, order) => {
  orders += 1;
  if (HAS_TROUBLE && !isAnswered(rank, order)) return false;
  if (order.operation !== 'prepare') deployment.record(`rank ${rank.rank}: ${describe(order)}`);
  else if (rank.rank === 0) deployment.record(`ranks: ${describe(order)}`);
  return true;
};

group.onPass = () => {
  const versions = group.ranks.map(({ map }) => map);
  const contents = new Set();
  if (new Set(versions).size === 1) return;
  for (const { sets } of group.ranks) contents.add(JSON.stringify(sets));
  violations += 1;
  if (violations > 5) return;
  deployment.record(`MAP: pass ${group.step} begins with versions ${versions.join(' ')}`);
};

async function start() {
  const storeHost = deployment.assignHost();
  const port = await findPort(storeHost);
  const ports = { front: port + 1, ready: port + 2, directory: port + 3, peer: port + 4 };
  await store.start(storeHost, port);
  store.put('op/config', {
    version: 1,
    routes: [
      {
        ...{ name: 'write', host: 'app.example', prefix: '/write/', kind: 'stream' },
        ...{ timeout_ms: 8000, target_latency_ms: 500, gap_target_ms: 120, priority: 1 },
        ...{ service: 'model', max_attempts: 2, public: false, sticky: true, resumable: true },
      },
    ],
    services: [
      {
        ...{ name: 'model', health_path: '/health', max_conns: 288, cold_s: 0, cold_per_s: 0 },
        engine: ENGINE,
      },
    ],
    limits: {
      ...{ max_header_bytes: 16_384, max_body_bytes: 4_194_304 },
      ...{ header_timeout_ms: 5000, idle_timeout_ms: 15_000 },
    },
  });
  const hosts = [];
  for (let rank = 0; rank < SIZE; rank += 1) hosts.push(deployment.assignHost());
  await group.start(hosts, port);
  const storeAddress = `${storeHost}:${port}`;
  for (const [rank, host] of hosts.entries()) {
    store.put(`servers/rank-${rank}`, {
      ...{ service: 'model', address: `${host}:${port}`, zone: 'zone-a', version: 'v1' },
      ...{ capacity: 12, state: 'ready', cold_left_ms: 0, sequence: 1, born: Date.now() },
    });
  }
  const entryHost = deployment.assignHost();
  deployment.startProgram(
    'entry',
    'entry-1',
    buildEntrySettings({ name: 'entry-1', host: entryHost, ports, store: storeAddress }),
  );
  for (const [rank, host] of hosts.entries()) {
    deployment.startProgram('agent', `agent-${rank}`, {
      ...{ node_name: `agent-${rank}`, role: 'agent', ip: host, zone: 'zone-a', region: 'geo' },
      internal_port_range: `${ports.peer},${ports.peer + 15}`,
      ...{ 'limits.memory_mb': '218', 'limits.link_mbps': '14', 'limits.max_fds': '1494' },
      ...{ 'platform.address': storeAddress, app: `${host}:${port}`, service: 'model' },
    });
  }
  frontAddress = `${entryHost}:${ports.front}`;
  return deployment.waitUntilReady(`${entryHost}:${ports.ready}`);
}

/** Sends streams in turns of equal length; each turn is about other experts. */
async function sendTurns(host, port, endMs) {
  while (performance.now() < endMs && violations === 0) {
    deployment.record(`callers send streams (pass ${group.step})`);
    group.hotExperts = group.hotExperts.map((expert) => (expert + 1) % ENGINE.experts);
    const busyEndMs = performance.now() + BUSY_MS;
    while (performance.now() < busyEndMs) {
      send(host, port);
      await sleep(STREAM_GAP_MS);
    }
    const nextMs = busyEndMs + IDLE_MS;
    while (performance.now() < nextMs && violations === 0) await sleep(STREAM_GAP_MS);
  }
}

async function play() {
  if (!(await start())) return 2;
  const [host, port] = frontAddress.split(':');
  await sleep(2000);
  const timer = setInterval(carryOutGo, 5);
  const endMs = performance.now() + (HAS_TROUBLE ? TRAFFIC_MS : CALM_TRAFFIC_MS);
  await sendTurns(host, Number(port), endMs);
  clearInterval(timer);
  // Shows whether the maps stay different.
  for (let at = 0; at < 25; at += 1) {
    send(host, Number(port));
    await sleep(STREAM_GAP_MS);
  }
  await sleep(2000);
  deployment.record(
    `${requests} requests, ${answered} answered; ${lateOrders} of ${orders} orders late; ` +
      `${violations} passes with different maps`,
  );
  return violations > 0 ? 1 : 0;
}

let status = 2;
try {
  status = await play();
} catch (error) {
  deployment.record(`error: ${error.stack}`);
} finally {
  await deployment.close();
  group.close();
  store.close();
}
process.exit(status);
