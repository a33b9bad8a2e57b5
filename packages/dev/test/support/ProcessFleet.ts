import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { RealClock, waitUntil } from '@limpetbay/runtime';
import { InstanceRecord } from '@limpetbay/core';
import { EngineGroup, InstanceListServer, PlainService, StoreServer } from '@limpetbay/standins';

const HOST = '127.0.0.1';
const PACKAGES = new URL('../../../', import.meta.url).pathname;

/** Daemons as processes of their own, with the stand-ins in the test's process. */
export class ProcessFleet {
  readonly #folder = mkdtempSync(join(tmpdir(), 'limpetbay-'));

  readonly #records: InstanceRecord[] = [];

  readonly #processes = new Map<string, ChildProcess>();

  readonly #output = new Map<string, string>();

  readonly store = new StoreServer({ clock: new RealClock() });

  readonly instances = new InstanceListServer({ clock: new RealClock() });

  readonly engines = new EngineGroup({ ranks: 3, stepMs: 20 });

  readonly bookings = new Map<string, number>();

  readonly service = new PlainService(this.bookings);

  async start(): Promise<void> {
    await this.store.start();
    await this.instances.start();
    await this.engines.start();
    await this.service.start();
  }

  /** Starts a daemon and waits until it listens; returns its fields of the `started` log line. */
  async startDaemon(kind: 'entry' | 'agent', id: string, section: object): Promise<string> {
    const file = join(this.#folder, `${id}.ini`);
    const lines = [`[${kind}]`, `id = ${id}`];
    for (const [key, value] of Object.entries(section)) lines.push(`${key} = ${value}`);
    lines.push('[platform]', `store = ${this.store.address}`, `instances = ${this.instances.url}`);
    lines.push('[timing]', 'stop_grace_ms = 60000');
    lines.push(kind === 'agent' ? 'leave_ms = 500' : 'address_ttl_ms = 500', '');
    writeFileSync(file, lines.join('\n'));
    const child = spawn(process.execPath, [`${PACKAGES}${kind}/dist/main.js`, '--settings', file]);
    this.#processes.set(id, child);
    this.#output.set(id, '');
    child.stderr.on('data', (data: Buffer) => {
      this.#output.set(id, this.#output.get(id)! + data.toString('utf8'));
    });
    const started = /: started address=(\S+)/;
    const isUp = await waitUntil(() => started.test(this.#output.get(id)!), 10_000);
    if (!isUp) throw new Error(`${id} did not start: ${this.#output.get(id)}`);
    return started.exec(this.#output.get(id)!)![1]!;
  }

  async startAgent(index: number): Promise<void> {
    const isModel = index < this.engines.ranks.length;
    const target = isModel ? `canerota-${index}` : 'bookings-0';
    const id = `agent-${target}`;
    const zone = index % 2 === 0 ? 'a' : 'b';
    const address = await this.startDaemon('agent', id, {
      zone,
      address: `${HOST}:0`,
      service: isModel ? 'canerota' : 'bookings',
      kind: isModel ? 'model' : 'plain',
      target,
      target_origin: isModel ? this.engines.ranks[index]!.origin : this.service.origin,
    });
    this.#list({ id, role: 'agent', zone, address, target, state: 'live' });
  }

  async startEntry(id: string, zone: string, port: number): Promise<string> {
    const url = `http://${HOST}:${port}`;
    const address = await this.startDaemon('entry', id, {
      zone,
      address: `${HOST}:0`,
      caller_host: HOST,
      caller_port: port,
      caller_url: url,
    });
    this.#list({ id, role: 'entry', zone, address, callerUrl: url, state: 'live' });
    return url;
  }

  /** Sends a signal to one of the processes that this fleet started. */
  signal(id: string, name: NodeJS.Signals): void {
    this.#processes.get(id)!.kill(name);
  }

  /** Resolves with the exit status of a process; null where a signal ended it. */
  async waitForExit(id: string): Promise<number | null> {
    const child = this.#processes.get(id)!;
    if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
    return new Promise((resolve) => {
      child.on('exit', resolve);
    });
  }

  async stop(): Promise<void> {
    for (const child of this.#processes.values()) child.kill('SIGKILL');
    this.engines.stop();
    this.service.kill();
    await this.instances.stop();
    await this.store.stop();
  }

  #list(record: object): void {
    this.#records.push(InstanceRecord.parse(record));
    this.instances.setRecords(this.#records);
  }
}
