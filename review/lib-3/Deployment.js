import { spawn } from 'node:child_process';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';

const ROOT = new URL('../../', import.meta.url).pathname;

const METRICS_PORT = 9464;

const POLL_MS = 100;

const POLL_TIMEOUT_MS = 1000;

/** Starts entries and agents with the commands of the deploy file, each at an address of its own. */
export class Deployment {
  entries = [];

  agents = [];

  #folder = mkdtempSync(join(tmpdir(), 'limpetbay-review-'));

  #network = Math.floor(Math.random() * 60_000);

  #hosts = 0;

  #ports = null;

  #children = new Set();

  /** Returns an unused loopback address. */
  assignHost() {
    this.#hosts += 1;
    const [second, third] = [3 + Math.floor(this.#network / 250), 2 + (this.#network % 250)];
    return `127.${second}.${third}.${this.#hosts}`;
  }

  /** @param settings further fields of the settings file */
  async addEntry(store, settings = {}) {
    const entry = await this.#add('entry', this.entries, store, settings);
    const listen = {
      'listen.front': `${entry.host}:${entry.ports.front}`,
      'listen.ready': `${entry.host}:${entry.ports.ready}`,
      'listen.directory': `${entry.host}:${entry.ports.directory}`,
    };
    Object.assign(entry.settings, listen, { serves: 'front,directory', machine_class: 'front' });
    return entry;
  }

  /** @param app address of the rank beside the agent */
  async addAgent(store, service, app, settings = {}) {
    const agent = await this.#add('agent', this.agents, store, settings);
    Object.assign(agent.settings, { app, service, serves: 'side', machine_class: 'side' });
    return agent;
  }

  /** Returns the port for calls between the processes, the same on all machines. */
  async getPeerPort() {
    this.#ports ??= await findPorts(this.assignHost());
    return this.#ports.peer;
  }

  start(instance) {
    const file = join(this.#folder, `${instance.name}.conf`);
    const lines = Object.entries(instance.settings).map(([name, value]) => `${name}=${value}\n`);
    writeFileSync(file, lines.join(''));
    const [program, ...args] = readCommand(instance.role);
    const log = openSync(join(this.#folder, `${instance.name}.log`), 'a');
    const child = spawn(program, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LIMPETBAY_NODE_FILE: file },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.#children.add(child);
    child.on('exit', () => this.#children.delete(child));
    Object.assign(instance, { child });
  }

  /** Waits until an entry is ready, or an agent serves its metrics. */
  async waitUntilReady(instance, timeoutMs = 15_000) {
    const { host, ports, role } = instance;
    const url =
      role === 'entry'
        ? `http://${host}:${ports.ready}/ready`
        : `http://${host}:${METRICS_PORT}/metrics`;
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      const answer = await fetch(url, {
        headers: { connection: 'close' },
        signal: AbortSignal.timeout(POLL_TIMEOUT_MS),
      }).catch(() => null);
      await answer?.arrayBuffer().catch(() => null);
      if (answer?.status === 200) return;
      await sleep(POLL_MS);
    }
    throw new Error(`${instance.name} did not become ready`);
  }

  readLog(instance) {
    return readFileSync(join(this.#folder, `${instance.name}.log`), 'utf8');
  }

  /** Ends all processes that this deployment started. */
  async close() {
    const ended = [...this.#children].map(
      (child) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
        }),
    );
    for (const child of this.#children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(ended);
    if (process.env.KEEP !== '1') rmSync(this.#folder, { recursive: true, force: true });
    else process.stderr.write(`logs: ${this.#folder}\n`);
  }

  async #add(role, list, store, settings) {
    const host = this.assignHost();
    this.#ports ??= await findPorts(host);
    const ports = this.#ports;
    const name = `${role}-${list.length + 1}`;
    const isEntry = role === 'entry';
    const instance = {
      role,
      name,
      host,
      ports,
      child: null,
      settings: {
        node_name: name,
        role,
        ip: host,
        zone: 'zone-a',
        region: 'geo',
        'zones.zone-a': 'geo',
        internal_port_range: `${ports.peer},${ports.peer + 15}`,
        bootstrap: 'true',
        'limits.memory_mb': isEntry ? '350' : '218',
        'limits.max_fds': isEntry ? '4100' : '1494',
        'limits.link_mbps': isEntry ? '1000' : '14',
        discovery: 'platform',
        entry: 'directory',
        heartbeat_ms: '1200',
        contracts:
          'base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,experts',
        'parameters.stable_window_ms': '3000',
        'parameters.drain_ms': '2000',
        'parameters.grace_s': '8',
        'parameters.config_apply_ms': '2000',
        'parameters.retry_ratio': '0.2',
        'parameters.retry_slack': '92',
        'parameters.ttl_max_s': '5',
        'platform.address': await store.open(name),
        ...settings,
      },
    };
    list.push(instance);
    return instance;
  }
}

/** Returns the command of a role of the deploy file, with the running Node.js as its program. */
function readCommand(role) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const [program, ...args] = /run = "([^"]+)"/.exec(section)[1].split(' ');
  return [program === 'node' ? process.execPath : program, ...args];
}

async function findPorts(host) {
  const ports = {};
  for (const use of ['front', 'ready', 'directory', 'peer']) {
    ports[use] = await findPort(host);
  }
  return ports;
}

function findPort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}
