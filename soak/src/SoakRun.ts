import { appendFileSync, mkdirSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { SeededRandom } from '@limpetbay/core';
import { Caller } from './callers/Caller.js';
import type { Bounds } from './check/Bounds.js';
import { Ledger } from './check/Ledger.js';
import { checkDrains } from './check/checkDrains.js';
import { checkRequests } from './check/checkRequests.js';
import type { Violation } from './check/Violation.js';
import { FaultPlayer } from './faults/FaultPlayer.js';
import { Fleet } from './processes/Fleet.js';
import type { Instance } from './processes/Instance.js';
import type { SoakOptions } from './SoakOptions.js';
import type { SoakResult } from './SoakResult.js';
import { RankServer } from './standins/RankServer.js';
import { StoreServer } from './standins/StoreServer.js';
import { TargetServer } from './standins/TargetServer.js';
import { buildConfig } from './standins/buildConfig.js';
import { findPort } from './standins/findPort.js';

const GRACE_S = 6;

const BOUNDS: Bounds = {
  stableWindowMs: 3000,
  graceMs: GRACE_S * 1000,
  drainMs: 2000,
  lossSlackMs: 200,
};

const MEGABYTE = 1_000_000;

const MEMORY_BYTES = { entry: 350 * MEGABYTE, agent: 218 * MEGABYTE };

const METRICS_PORT = 9464;

const POLL_MS = 200;
const SAMPLE_MS = 50;

/** The runner counts as held up if a sample is later than this, milliseconds. */
const MAX_SAMPLE_DELAY_MS = 100;

const POLL_TIMEOUT_MS = 2000;

/** A rank counts as served if its agent read its status within this time, milliseconds. */
const MAX_REPORT_AGE_MS = 3000;

/** Delay of the restart of a process that ended by itself, milliseconds. */
const OWN_END_RESTART_MS = 500;

/** One seeded run: starts all processes, plays the schedule beside callers, and checks the rules. */
export class SoakRun {
  readonly #ledger = new Ledger();

  readonly #violations: Violation[] = [];

  readonly #fleet: Fleet;

  readonly #ranks = new Map<string, RankServer>();

  readonly #targets: TargetServer[] = [];

  readonly #network = Math.floor(Math.random() * 62_500);

  readonly #startMs = performance.now();

  readonly #options: SoakOptions;

  #store: StoreServer | null = null;

  #earlyEnds = 0;

  #lateStops = 0;

  #hosts = 0;

  #lastSampleMs = performance.now();

  #isClosed = false;

  constructor(options: SoakOptions) {
    this.#options = options;
    rmSync(options.folder, { recursive: true, force: true });
    mkdirSync(options.folder, { recursive: true });
    writeFileSync(join(options.folder, 'schedule.json'), JSON.stringify(options.schedule, null, 1));
    this.#fleet = new Fleet(options.folder, options.commands);
    this.#fleet.onEnd = (instance, code, signal) => this.#handleEnd(instance, code, signal);
  }

  async run(): Promise<SoakResult> {
    const { seconds, seed, profile, schedule } = this.#options;
    const player = await this.#start();
    const timers = [
      setInterval(() => this.#sample(), SAMPLE_MS),
      setInterval(() => void this.#pollAll(player), POLL_MS),
    ];
    try {
      const startMs = await this.#waitUntilServing();
      const endMs = startMs + seconds * 1000;
      const callers: Promise<void>[] = [];
      for (const instance of this.#fleet.instances) {
        if (instance.role !== 'entry') continue;
        for (let at = 0; at < profile.callersPerEntry; at += 1) {
          const random = new SeededRandom(seed * 1000 + callers.length);
          const name = `request-${instance.name}-${at}`;
          callers.push(new Caller(name, instance, random, this.#ledger).run(endMs));
        }
      }
      const faults: Promise<void>[] = [];
      for (const plan of schedule) {
        await sleep(Math.max(0, startMs + plan.atMs - performance.now()));
        faults.push(player.apply(plan));
      }
      await Promise.all([...callers, ...faults]);
      await this.#waitUntilServing();
    } finally {
      for (const timer of timers) clearInterval(timer);
      this.close();
    }
    return this.#report();
  }

  /** Ends all processes and stand-ins. */
  close(): void {
    this.#isClosed = true;
    this.#fleet.close();
    for (const target of this.#targets) target.close();
    for (const rank of this.#ranks.values()) rank.close();
    this.#store?.close();
  }

  async #start(): Promise<FaultPlayer> {
    const { profile } = this.#options;
    const storeHost = this.#assignHost();
    const ports = {
      front: await findPort(storeHost),
      ready: await findPort(storeHost),
      directory: await findPort(storeHost),
      peer: await findPort(storeHost),
      metrics: METRICS_PORT,
    };
    const appPort = await findPort(storeHost);
    const store = new StoreServer(storeHost, appPort);
    this.#store = store;
    await store.start();
    store.put('op/config', buildConfig(1));
    for (let at = 1; at <= profile.targets; at += 1) {
      const host = this.#assignHost();
      const target = new TargetServer(`target-${at}`, host, appPort, store, this.#ledger);
      this.#targets.push(target);
      await target.start();
    }
    for (let at = 1; at <= profile.entries; at += 1) this.#addInstance('entry', at, ports, {});
    for (let at = 1; at <= profile.agents; at += 1) {
      const agent = this.#addInstance('agent', at, ports, { service: 'model' });
      const app = `${agent.host}:${appPort}`;
      this.#fleet.writeSettings(agent, { app });
      const rank = new RankServer(at - 1, profile.agents);
      this.#ranks.set(agent.name, rank);
      await rank.start(agent.host, appPort);
      store.put(`servers/rank-${at}`, {
        ...{ service: 'model', address: app, zone: 'zone-a', version: 'v1', capacity: 32 },
        ...{ state: 'ready', cold_left_ms: 0, sequence: 1, born: Date.now() },
      });
    }
    const record = (text: string): void => this.#record(text);
    const player = new FaultPlayer({
      fleet: this.#fleet,
      store,
      targets: this.#targets,
      ledger: this.#ledger,
      bounds: BOUNDS,
      record,
    });
    for (const instance of this.#fleet.instances) this.#startProcess(instance);
    return player;
  }

  #assignHost(): string {
    this.#hosts += 1;
    const [second, third] = [2 + Math.floor(this.#network / 250), 2 + (this.#network % 250)];
    return `127.${second}.${third}.${this.#hosts}`;
  }

  #addInstance(
    role: Instance['role'],
    at: number,
    ports: Instance['ports'],
    fields: Readonly<Record<string, string>>,
  ): Instance {
    const [name, host, memoryBytes] = [`${role}-${at}`, this.#assignHost(), MEMORY_BYTES[role]];
    const listen = {
      'listen.front': `${host}:${ports.front}`,
      'listen.ready': `${host}:${ports.ready}`,
      'listen.directory': `${host}:${ports.directory}`,
    };
    return this.#fleet.add(
      { role, name, host, ports, memoryBytes },
      {
        node_name: name,
        role,
        ip: host,
        zone: 'zone-a',
        region: 'geo',
        'limits.memory_mb': String(memoryBytes / MEGABYTE),
        'limits.link_mbps': role === 'entry' ? '1000' : '14',
        internal_port_range: `${ports.peer},${ports.peer + 15}`,
        'parameters.drain_ms': String(BOUNDS.drainMs),
        'parameters.grace_s': String(GRACE_S),
        'parameters.retry_ratio': '0.2',
        'parameters.retry_slack': '92',
        'parameters.ttl_max_s': '5',
        'platform.address': this.#store!.address,
        ...(role === 'entry' ? listen : {}),
        ...fields,
      },
    );
  }

  #record(text: string): void {
    const seconds = ((performance.now() - this.#startMs) / 1000).toFixed(3);
    appendFileSync(join(this.#options.folder, 'record.txt'), `${seconds.padStart(8)} ${text}\n`);
  }

  #addViolation(rule: Violation['rule'], seen: string): void {
    this.#violations.push({ rule, atMs: performance.now() - this.#startMs, seen });
    this.#record(`${rule}: ${seen}`);
  }

  #startProcess(instance: Instance): void {
    Object.assign(instance, { mustServeFromMs: performance.now() });
    this.#fleet.startProcess(instance);
    this.#record(`${instance.name}: process ${instance.child?.pid} started`);
  }

  #handleEnd(instance: Instance, code: number | null, signal: NodeJS.Signals | null): void {
    if (this.#isClosed) return;
    const { orders, earlySignals, name } = instance;
    const isPlanned =
      (orders.has('kill') && signal === 'SIGKILL') || (orders.has('stop') && code === 0);
    const isEarly = signal !== null && earlySignals.has(signal);
    this.#record(`${name}: process ended (${signal ?? `status ${code}`})`);
    if (isEarly) this.#earlyEnds += 1;
    else if (!isPlanned) {
      this.#addViolation('FAULT', `${name} ended by itself (${signal ?? `status ${code}`})`);
    }
    if (isPlanned && orders.has('stop') && orders.has('kill')) this.#lateStops += 1;
    const delayMs = isPlanned ? instance.restartMs : OWN_END_RESTART_MS;
    setTimeout(() => void this.#restart(instance), delayMs);
  }

  async #restart(instance: Instance): Promise<void> {
    const prepare = instance.beforeStart;
    Object.assign(instance, { beforeStart: null });
    await prepare?.();
    if (!this.#isClosed) this.#startProcess(instance);
  }

  /** Samples the memory of all processes and notes when the runner was held up. */
  #sample(): void {
    const nowMs = performance.now();
    const { stalls } = this.#ledger;
    const lateMs = nowMs - this.#lastSampleMs - SAMPLE_MS;
    const previousMs = this.#lastSampleMs;
    if (lateMs > MAX_SAMPLE_DELAY_MS) stalls.push({ startMs: previousMs, endMs: nowMs });
    this.#lastSampleMs = nowMs;
    for (const instance of this.#fleet.instances) {
      if (this.#fleet.checkStarved(instance)) {
        this.#ledger.addSpan(instance.name, 'starved', previousMs, nowMs);
      }
      const peakBytes = this.#fleet.readPeak(instance);
      const isNew = peakBytes > instance.memoryBytes && instance.peakBytes <= instance.memoryBytes;
      Object.assign(instance, { peakBytes: Math.max(peakBytes, instance.peakBytes) });
      if (!isNew) continue;
      const megabytes = Math.round(peakBytes / MEGABYTE);
      this.#addViolation('FAULT', `${instance.name} used ${megabytes} MB of resident memory`);
    }
  }

  async #pollAll(player: FaultPlayer): Promise<void> {
    await Promise.all(this.#fleet.instances.map((instance) => this.#poll(instance, player)));
  }

  /** Asks an instance whether it serves; it has to, some time after its last obstacle. */
  async #poll(instance: Instance, player: FaultPlayer): Promise<void> {
    const { child } = instance;
    const { recoveryMs } = this.#options;
    const isServing = child !== null && (await this.#isServing(instance));
    const isExcused = instance.obstacles > 0 || instance.orders.size > 0 || player.isStoreDown;
    const nowMs = performance.now();
    if (isServing) Object.assign(instance, { mustServeFromMs: null });
    else if (isExcused) Object.assign(instance, { mustServeFromMs: nowMs });
    else if (instance.mustServeFromMs === null) {
      Object.assign(instance, { mustServeFromMs: nowMs });
    } else if (nowMs - instance.mustServeFromMs > recoveryMs) {
      this.#addViolation('FAULT', `${instance.name} does not serve after ${recoveryMs} ms`);
      Object.assign(instance, { mustServeFromMs: nowMs });
    }
  }

  async #isServing({ role, name, host, ports }: Instance): Promise<boolean> {
    const url =
      role === 'entry'
        ? `http://${host}:${ports.ready}/ready`
        : `http://${host}:${ports.metrics}/metrics`;
    const answer = await fetch(url, {
      headers: { connection: 'close' },
      signal: AbortSignal.timeout(POLL_TIMEOUT_MS),
    }).catch(() => null);
    await answer?.arrayBuffer().catch(() => null);
    if (answer?.status !== 200) return false;
    const rank = this.#ranks.get(name);
    return rank === undefined || performance.now() - rank.lastReportMs < MAX_REPORT_AGE_MS;
  }

  /** Waits until all instances serve, or one was found not to. @returns the time */
  async #waitUntilServing(): Promise<number> {
    const endMs = performance.now() + 2 * this.#options.recoveryMs;
    while (performance.now() < endMs) {
      await sleep(POLL_MS);
      const waiting = this.#fleet.instances.filter(
        ({ child, mustServeFromMs }) => child === null || mustServeFromMs !== null,
      );
      if (waiting.length === 0) break;
    }
    return performance.now();
  }

  #report(): SoakResult {
    const { requests } = this.#ledger;
    const found = [...checkRequests(this.#ledger, BOUNDS), ...checkDrains(this.#ledger, BOUNDS)];
    for (const { rule, atMs, seen } of found) {
      this.#violations.push({ rule, atMs: atMs - this.#startMs, seen });
    }
    const lines = requests.map((request) => {
      const runs = this.#ledger.runs.get(request.id) ?? [];
      return JSON.stringify({ ...request, runs });
    });
    writeFileSync(join(this.#options.folder, 'requests.jsonl'), `${lines.join('\n')}\n`);
    const peakBytes: Record<string, number> = {};
    for (const { role, peakBytes: bytes } of this.#fleet.instances) {
      peakBytes[role] = Math.max(bytes, peakBytes[role] ?? 0);
    }
    const outcomes: Record<string, number> = {};
    for (const { outcome, status, cause } of requests) {
      const name = outcome === 'answered' ? String(status) : `${outcome} ${cause}`;
      outcomes[name] = (outcomes[name] ?? 0) + 1;
    }
    const [earlyEnds, lateStops] = [this.#earlyEnds, this.#lateStops];
    return { violations: this.#violations, outcomes, earlyEnds, lateStops, peakBytes };
  }
}
