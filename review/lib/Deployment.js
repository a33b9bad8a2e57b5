import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { findPort } from './findPort.js';
import { sleep } from './sleep.js';

const ROOT = new URL('../../', import.meta.url).pathname;
const METRICS_PORT = 9464;
const READY_TIMEOUT_MS = 15_000;

/** Time before which the machine's processes are not asked again, milliseconds. */
const POLL_MS = 50;

/** Reads the command of a role from the deploy file. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  return /run = "([^"]+)"/.exec(section)[1].split(' ');
}

/**
 * Runs programs of the deploy file as processes. Each machine has a loopback address of its own, so
 * that all machines use the same ports.
 */
export class Deployment {
  #folder = mkdtempSync(join(tmpdir(), 'review-'));

  #net = 2 + Math.floor(Math.random() * 250);

  #block = 2 + Math.floor(Math.random() * 250);

  #machines = [];

  #children = new Set();

  #lastHost = 10;

  #recordFile;

  #startMs = performance.now();

  constructor(recordFile) {
    this.#recordFile = recordFile;
    writeFileSync(recordFile, '');
  }

  /** Returns a loopback address that no other machine of this run has. */
  assignHost() {
    this.#lastHost += 1;
    return `127.${this.#net}.${this.#block}.${this.#lastHost}`;
  }

  /** Adds a line to the record of the run. */
  record(text) {
    const seconds = ((performance.now() - this.#startMs) / 1000).toFixed(3);
    appendFileSync(this.#recordFile, `${seconds.padStart(8)} ${text}\n`);
  }

  /** Starts an entry or an agent. @param fields settings that differ from the common ones */
  async startMachine(role, name, store, fields = {}) {
    const host = fields.ip ?? this.assignHost();
    this.peerPort ??= await findPort(host);
    const ports = {
      front: await findPort(host),
      ready: await findPort(host),
      directory: await findPort(host),
    };
    const settings = {
      node_name: name,
      role,
      ip: host,
      zone: 'zone-a',
      region: 'geo',
      'limits.memory_mb': role === 'entry' ? 350 : 218,
      'limits.link_mbps': role === 'entry' ? 1000 : 14,
      internal_port_range: `${this.peerPort},${this.peerPort + 15}`,
      'parameters.drain_ms': 2000,
      'parameters.grace_s': 8,
      'parameters.retry_ratio': 0.2,
      'parameters.retry_slack': 92,
      'parameters.ttl_max_s': 5,
      'platform.address': store.address,
      ...fields,
    };
    if (role === 'entry') {
      for (const [use, port] of Object.entries(ports)) {
        settings[`listen.${use}`] = `${host}:${port}`;
      }
    }
    const file = join(this.#folder, `${name}.conf`);
    let text = '';
    for (const [key, value] of Object.entries(settings)) text += `${key}=${value}\n`;
    writeFileSync(file, text);
    const machine = { role, name, host, ports, file, child: null, log: [] };
    this.#machines.push(machine);
    this.launch(machine);
    return machine;
  }

  /** Starts the process of a machine, also again after its end. */
  launch(machine) {
    const [program, ...args] = readCommand(machine.role);
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LIMPETBAY_NODE_FILE: machine.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    Object.assign(machine, { child });
    this.#children.add(child);
    let rest = '';
    const read = (data) => {
      const lines = (rest + data).split('\n');
      rest = lines.pop();
      for (const line of lines) machine.log.push(line);
      if (machine.log.length > 20_000) machine.log.splice(0, 10_000);
    };
    child.stdout.on('data', read);
    child.stderr.on('data', read);
    child.on('exit', (code, signal) => {
      this.#children.delete(child);
      this.record(`${machine.name}: process ended (${signal ?? `status ${code}`})`);
    });
    this.record(`${machine.name}: process started at ${machine.host}`);
  }

  /** Starts a stand-in in a process of its own; its messages go to `onMessage`. */
  startStandIn(script, args, onMessage) {
    const child = spawn(process.execPath, [script, ...args.map(String)], {
      stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
    });
    this.#children.add(child);
    child.on('message', onMessage);
    child.on('exit', () => this.#children.delete(child));
    return child;
  }

  /** Waits until an entry answers its readiness check with 200. */
  async waitUntilReady(machine) {
    const url = `http://${machine.host}:${machine.ports.ready}/ready`;
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < endMs) {
      const answer = await fetch(url, { headers: { connection: 'close' } }).catch(() => null);
      if (answer?.status === 200) return;
      await sleep(POLL_MS);
    }
    throw new Error(`${machine.name} is not ready`);
  }

  /** Returns the metrics of a process. */
  async readMetrics(machine) {
    const answer = await fetch(`http://${machine.host}:${METRICS_PORT}/metrics`, {
      headers: { connection: 'close' },
      signal: AbortSignal.timeout(3000),
    });
    return answer.text();
  }

  /** Ends all processes that were started and removes the files. */
  close() {
    for (const child of this.#children) child.kill('SIGKILL');
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
