import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { RealClock, waitUntil } from '@limpetbay/runtime';
import { InstanceRecord } from '@limpetbay/core';
import { EngineGroup, InstanceListServer, PlainService, StoreServer } from '@limpetbay/standins';

const HOST = '127.0.0.1';
const PACKAGES = new URL('../../../', import.meta.url).pathname;

/** Runs entries and agents as separate processes, with the stand-ins in the process of the test. */
export class ProcessFleet {
  readonly #folder = mkdtempSync(join(tmpdir(), 'limpetbay-'));

  readonly #records: InstanceRecord[] = [];

  readonly #processes = new Map<string, ChildProcess>();

  readonly #stderr = new Map<string, string>();

  readonly store = new StoreServer({ clock: new RealClock() });

  readonly instances = new InstanceListServer({ clock: new RealClock() });

  readonly engines = new EngineGroup({ ranks: 3, stepMs: 20 });

  /** Number of runs of each booking id. */
  readonly runsByBooking = new Map<string, number>();

  readonly service = new PlainService(this.runsByBooking);

  async start(): Promise<void> {
    await this.store.start();
    await this.instances.start();
    await this.engines.start();
    await this.service.start();
  }

  /**
   * Starts a daemon and waits until it listens.
   *
   * @param section settings of the section that is named after `kind`
   * @param graceMs longest time to finish requests in progress after a stop signal
   * @returns the fields of its `started` log line
   * @throws Error if the daemon does not start within 10 s
   */
  async startDaemon(
    kind: 'entry' | 'agent',
    id: string,
    section: object,
    graceMs = 60_000,
  ): Promise<ReadonlyMap<string, string>> {
    const file = join(this.#folder, `${id}.ini`);
    const lines = [`[${kind}]`, `id = ${id}`];
    for (const [key, value] of Object.entries(section)) lines.push(`${key} = ${value}`);
    lines.push('[platform]', `store = ${this.store.address}`, `instances = ${this.instances.url}`);
    lines.push('[timing]', `stop_grace_ms = ${graceMs}`);
    lines.push(kind === 'agent' ? 'leave_ms = 500' : 'address_ttl_ms = 500', '');
    writeFileSync(file, lines.join('\n'));
    const child = spawn(process.execPath, [`${PACKAGES}${kind}/dist/main.js`, '--settings', file]);
    this.#processes.set(id, child);
    this.#stderr.set(id, '');
    child.stderr.on('data', (data: Buffer) => {
      this.#stderr.set(id, this.#stderr.get(id)! + data.toString('utf8'));
    });
    const startedLine = /: started (address=.*)\n/;
    const hasStarted = await waitUntil(() => startedLine.test(this.#stderr.get(id)!), 10_000);
    if (!hasStarted) throw new Error(`${id} did not start: ${this.#stderr.get(id)}`);
    const fields = startedLine.exec(this.#stderr.get(id)!)![1]!.split(' ');
    return new Map(fields.map((field) => field.split('=') as [string, string]));
  }

  /**
   * Starts the agent of a rank or of the plain service.
   *
   * @param index number of the rank; the number of ranks starts the agent of the plain service
   */
  async startAgent(index: number): Promise<void> {
    const isModel = index < this.engines.ranks.length;
    const target = isModel ? `canerota-${index}` : 'bookings-0';
    const id = `agent-${target}`;
    const zone = index % 2 === 0 ? 'a' : 'b';
    const started = await this.startDaemon('agent', id, {
      zone,
      address: `${HOST}:0`,
      service: isModel ? 'canerota' : 'bookings',
      kind: isModel ? 'model' : 'plain',
      target,
      target_origin: isModel ? this.engines.ranks[index]!.origin : this.service.origin,
    });
    const address = started.get('address');
    this.#addInstance({ id, role: 'agent', zone, address, target, state: 'live' });
  }

  /** Starts an entry on a free port and returns its URL for callers. */
  async startEntry(id: string, zone: string, graceMs?: number): Promise<string> {
    const section = {
      zone,
      address: `${HOST}:0`,
      caller_host: HOST,
      caller_port: 0,
      caller_url: `http://${HOST}:0`,
    };
    const started = await this.startDaemon('entry', id, section, graceMs);
    const [address, url] = [started.get('address'), started.get('callers')!];
    this.#addInstance({ id, role: 'entry', zone, address, callerUrl: url, state: 'live' });
    return url;
  }

  /** Sends a signal to one of the processes that this fleet started. */
  sendSignal(id: string, signal: NodeJS.Signals): void {
    this.#processes.get(id)!.kill(signal);
  }

  isRunning(id: string): boolean {
    const { exitCode, signalCode } = this.#processes.get(id)!;
    return exitCode === null && signalCode === null;
  }

  /** Waits for a process to exit and returns its exit status, or null if a signal ended it. */
  async waitForExit(id: string): Promise<number | null> {
    const child = this.#processes.get(id)!;
    if (child.exitCode !== null || child.signalCode !== null) return child.exitCode;
    return new Promise((resolve) => {
      child.on('exit', resolve);
    });
  }

  /** Kills all processes and stops the stand-ins. */
  async stop(): Promise<void> {
    for (const child of this.#processes.values()) child.kill('SIGKILL');
    this.engines.stop();
    this.service.kill();
    await this.instances.stop();
    await this.store.stop();
  }

  #addInstance(record: object): void {
    this.#records.push(InstanceRecord.parse(record));
    this.instances.setRecords(this.#records);
  }
}
