import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { StoreServer } from '@limpetbay/soak';
import type { Bench } from '../../report/Bench.js';
import type { BenchResult } from '../../report/BenchResult.js';
import { createResult } from '../../report/createResult.js';
import { MeasuredProcess } from './MeasuredProcess.js';
import type { ProcessWork } from './ProcessWork.js';
import { StandInFleet } from './StandInFleet.js';
import { StandInRank } from './StandInRank.js';
import { modelShape } from './modelShape.js';

const RANK_COUNTS = [8, 32, 96, 192] as const;

/** Time from the start until a process counts as at rest, milliseconds. */
const START_MS = 6000;

const PERIOD_MS = 6000;

const STORE_HOST = '127.3.0.1';

const STORE_PORT = 8223;

const METRICS_PORT = 9464;

const PEER_PORT = 7340;

const RANK_PORT = 8000;

const SERVICE = 'model';

const ENGINE = {
  ...{ capacity: 6, kv_capacity: 84_848, step_ms: 4.55, per_seq_ms: 1.99, context_per_k: 0.04 },
  ...{ read_per_s: 61_400, chunk: 512, stride: 6, link_mbps: 92_000 },
  ...{ usual: { prompt: 800, answer: 95 }, sets: modelShape.sets, experts: modelShape.experts },
  ...{ places: modelShape.slotsPerRank, spare: 2, expert_mb: 210, expert_share: 0.85 },
};

const CONFIG = {
  version: 1,
  routes: [],
  services: [{ name: SERVICE, health_path: '/health', max_conns: 110, engine: ENGINE }],
  limits: {
    ...{ max_header_bytes: 16_384, max_body_bytes: 1_048_576 },
    ...{ header_timeout_ms: 5000, idle_timeout_ms: 15_000 },
  },
};

type Phase = 'start' | 'rest' | 'requests';

function diffWork(after: ProcessWork, before: ProcessWork): ProcessWork {
  return {
    processorMs: after.processorMs - before.processorMs,
    wakeups: after.wakeups - before.wakeups,
    messages: after.messages - before.messages,
    bytes: after.bytes - before.bytes,
  };
}

/** Lists the figures of a phase: totals of the start, else per second. */
function listResults(name: string, phase: Phase, work: ProcessWork): BenchResult[] {
  const seconds = phase === 'start' ? 1 : PERIOD_MS / 1000;
  const per = phase === 'start' ? '' : '/s';
  const results: BenchResult[] = [];
  for (const [figure, unit] of [
    ['processorMs', 'ms'],
    ['wakeups', 'wake-ups'],
    ['messages', 'datagrams'],
    ['bytes', 'bytes'],
  ] as const) {
    const key = `process-cost.${name}.${phase}.${figure}`;
    results.push(createResult(key, 0, work[figure] / seconds, `${unit}${per}`));
  }
  return results;
}

async function measureFleet(ranks: number): Promise<BenchResult[]> {
  const folder = mkdtempSync(join(tmpdir(), 'limpetbay-cost-'));
  // The last rank neither plans nor is among those that may soon have to.
  const measuredRank = ranks - 1;
  const entries = Math.ceil(ranks / 2);
  const fleet = new StandInFleet({ ranks, entries, measuredRank });
  const rank = new StandInRank({ rank: measuredRank, size: ranks });
  const store = new StoreServer(STORE_HOST, STORE_PORT);
  const processes: MeasuredProcess[] = [];
  const results: BenchResult[] = [];
  try {
    const agentHost = fleet.getAgentHost(measuredRank);
    const entryHost = fleet.getEntryHost(entries);
    await rank.start(agentHost, RANK_PORT);
    await store.start();
    store.put('op/config', CONFIG);
    for (let index = 0; index < ranks; index += 1) {
      const registration = { service: SERVICE, zone: 'a', version: 'v1', capacity: 6, sequence: 1 };
      const state = { state: 'ready', cold_left_ms: 0, born: 1000 };
      const address = fleet.getRankAddress(index);
      store.put(`servers/rank-${index}`, { ...registration, ...state, address });
    }
    await fleet.start(rank);
    const common = {
      zone: 'a',
      'platform.address': store.address,
      internal_port_range: `${PEER_PORT},${PEER_PORT + 15}`,
    };
    const agent = new MeasuredProcess({
      ...{ program: 'agent', folder, host: agentHost, metricsPort: METRICS_PORT },
      settings: {
        ...{ ...common, node_name: 'side-1', ip: agentHost, app: `${agentHost}:${RANK_PORT}` },
        ...{ service: SERVICE, 'limits.link_mbps': '4.2' },
      },
    });
    const entry = new MeasuredProcess({
      ...{ program: 'entry', folder, host: entryHost, metricsPort: METRICS_PORT },
      settings: {
        ...{ ...common, node_name: 'front-1', ip: entryHost },
        ...{ 'listen.front': `${entryHost}:8227`, 'listen.ready': `${entryHost}:8220` },
        'listen.directory': `${entryHost}:8224`,
      },
    });
    processes.push(agent, entry);
    const measured = [
      { name: `agent.${ranks}`, process: agent },
      { name: `entry.${ranks}`, process: entry },
    ];
    const none = { processorMs: 0, wakeups: 0, messages: 0, bytes: 0 };
    const before = new Map<MeasuredProcess, ProcessWork>();
    for (const phase of ['start', 'rest', 'requests'] as const) {
      if (phase === 'requests') rank.beginRequests();
      await sleep(phase === 'start' ? START_MS : PERIOD_MS);
      for (const { name, process } of measured) {
        const work = await process.readWork();
        results.push(...listResults(name, phase, diffWork(work, before.get(process) ?? none)));
        before.set(process, work);
      }
    }
  } finally {
    for (const process of processes) process.close();
    fleet.close();
    rank.close();
    store.close();
    rmSync(folder, { recursive: true, force: true });
  }
  return results;
}

/**
 * Work of an agent and an entry, as real processes, at their start, at rest, and while the ranks have
 * requests, in fleets of several sizes whose other processes are stand-ins. The entry gets no
 * requests of callers.
 */
export const processCostBench: Bench = {
  name: 'process-cost',
  deterministic: false,
  run: async () => {
    const results: BenchResult[] = [];
    for (const ranks of RANK_COUNTS) results.push(...(await measureFleet(ranks)));
    return results;
  },
};
