import { spawn } from 'node:child_process';
import { once } from 'node:events';
import {
  appendFileSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const ROOT = new URL('../../', import.meta.url).pathname;

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1];
  return /run = "([^"]+)"/.exec(section)[1].split(' ');
}

/** Returns a TCP port that is free at an address. */
export function findPort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The programs of a small deployment on loopback addresses, and the record of a case. */
export class Deployment {
  #folder = mkdtempSync(join(tmpdir(), 'limpetbay-case-'));

  #children = new Map();

  #startMs = performance.now();

  #recordFile;

  #network = `127.${2 + Math.floor(Math.random() * 250)}.${2 + Math.floor(Math.random() * 250)}`;

  #hosts = 0;

  /** @param recordFile file to which the case writes what was sent, answered and run */
  constructor(recordFile) {
    this.#recordFile = recordFile;
    writeFileSync(recordFile, '');
  }

  record(text) {
    const seconds = ((performance.now() - this.#startMs) / 1000).toFixed(3);
    appendFileSync(this.#recordFile, `${seconds.padStart(8)} ${text}\n`);
  }

  /** Returns a loopback address of its own, as each machine has one. */
  assignHost() {
    this.#hosts += 1;
    return `${this.#network}.${this.#hosts}`;
  }

  /** Starts a program with the command of its role and a settings file. */
  startProgram(role, name, settings) {
    const file = join(this.#folder, `${name}.conf`);
    const lines = Object.entries(settings).map(([field, value]) => `${field}=${value}\n`);
    writeFileSync(file, lines.join(''));
    const [program, ...args] = readCommand(role);
    const log = openSync(join(this.#folder, `${name}.log`), 'a');
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LIMPETBAY_NODE_FILE: file },
      stdio: ['ignore', log, log],
    });
    this.#children.set(name, child);
    child.on('exit', (code, signal) => {
      this.record(`${name}: process ended (${signal ?? `status ${code}`})`);
      if (this.#children.get(name) === child) this.#children.delete(name);
    });
    this.record(`${name}: process ${child.pid} started`);
  }

  isRunning(name) {
    return this.#children.has(name);
  }

  sendSignal(name, signal) {
    this.record(`${name}: ${signal}`);
    this.#children.get(name)?.kill(signal);
  }

  /** Returns the log lines of a program whose text contains one of some words. */
  grepLog(name, words) {
    const lines = readFileSync(join(this.#folder, `${name}.log`), 'utf8').split('\n');
    return lines.filter((line) => words.some((word) => line.includes(word)));
  }

  /** Waits until an entry answers its readiness check. @returns whether it did */
  async waitUntilReady(address, timeoutMs = 20_000) {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      const answer = await fetch(`http://${address}/ready`, {
        headers: { connection: 'close' },
        signal: AbortSignal.timeout(1000),
      }).catch(() => null);
      await answer?.arrayBuffer().catch(() => null);
      if (answer?.status === 200) return true;
      await sleep(100);
    }
    return false;
  }

  /** Ends all processes of the case and removes its temporary folder. */
  async close() {
    const ends = [];
    for (const child of this.#children.values()) {
      ends.push(once(child, 'exit'));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(ends);
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Returns the settings of an entry of a small deployment. */
export function buildEntrySettings({ name, host, ports, store }) {
  return {
    node_name: name,
    role: 'entry',
    ip: host,
    zone: 'zone-a',
    region: 'geo',
    'listen.front': `${host}:${ports.front}`,
    'listen.ready': `${host}:${ports.ready}`,
    'listen.directory': `${host}:${ports.directory}`,
    internal_port_range: `${ports.peer},${ports.peer + 15}`,
    'limits.memory_mb': '350',
    'limits.max_fds': '4100',
    'limits.link_mbps': '1000',
    heartbeat_ms: '1200',
    contracts: 'base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts',
    'parameters.stable_window_ms': '3000',
    'parameters.drain_ms': '2000',
    'parameters.grace_s': '8',
    'parameters.config_apply_ms': '2000',
    'parameters.retry_ratio': '0.2',
    'parameters.retry_slack': '92',
    'parameters.ttl_max_s': '5',
    'platform.address': store,
    'platform.history_s': '20',
    'platform.value_bytes': '1048576',
  };
}
