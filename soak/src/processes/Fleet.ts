import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Instance } from './Instance.js';

const ROOT = new URL('../../../', import.meta.url).pathname;

/**
 * Bit in the masks of `/proc` that shows that a signal is handled. Node.js itself catches SIGTERM
 * from its start on, only to end by it, so SIGQUIT shows whether the program handles a stop.
 */
const BIT_OF_SIGNAL: ReadonlyMap<string, bigint> = new Map([
  ['SIGHUP', 0n],
  ['SIGTERM', 2n],
]);

const BYTES_PER_KB = 1024;

/** Waits for a processor that are longer than this, and times on it that are shorter, are noted. */
const MAX_WAIT_NS = 50_000_000;
const MIN_RUN_NS = 5_000_000;

/** Starts, signals and ends processes; it ends no process that it did not start. */
export class Fleet {
  readonly instances: Instance[] = [];

  readonly #children = new Set<ChildProcess>();

  readonly #folder: string;

  readonly #commands: Readonly<Record<Instance['role'], readonly string[]>>;

  readonly #settings = new Map<string, Map<string, string>>();

  readonly #schedules = new WeakMap<
    Instance,
    { readonly ranNs: number; readonly waitedNs: number; readonly isRunnable: boolean }
  >();

  /** Called when a process has ended. */
  onEnd: (instance: Instance, code: number | null, signal: NodeJS.Signals | null) => void =
    () => {};

  /**
   * @param folder folder for the logs and settings files
   * @param commands program and arguments of each role
   */
  constructor(folder: string, commands: Readonly<Record<Instance['role'], readonly string[]>>) {
    this.#folder = folder;
    this.#commands = commands;
  }

  /** Adds an instance and writes its settings file; `startProcess` starts its process. */
  add(
    fields: Pick<Instance, 'role' | 'name' | 'host' | 'ports' | 'memoryBytes'>,
    settings: Readonly<Record<string, string>>,
  ): Instance {
    const instance: Instance = {
      ...fields,
      settingsFile: join(this.#folder, `${fields.name}.conf`),
      logFile: join(this.#folder, `${fields.name}.log`),
      child: null,
      orders: new Set(),
      earlySignals: new Set(),
      obstacles: 0,
      beforeStart: null,
      restartMs: 0,
      mustServeFromMs: null,
      peakBytes: 0,
    };
    this.instances.push(instance);
    this.writeSettings(instance, settings);
    return instance;
  }

  /** Changes fields of the settings file of an instance; the others stay. */
  writeSettings(instance: Instance, fields: Readonly<Record<string, string>>): void {
    const known = this.#settings.get(instance.name) ?? new Map<string, string>();
    this.#settings.set(instance.name, known);
    for (const [name, value] of Object.entries(fields)) known.set(name, value);
    let text = '';
    for (const [name, value] of known) text += `${name}=${value}\n`;
    // A rename, so that no start reads a part of the file.
    writeFileSync(`${instance.settingsFile}.new`, text);
    renameSync(`${instance.settingsFile}.new`, instance.settingsFile);
  }

  startProcess(instance: Instance): void {
    const [program, ...args] = this.#commands[instance.role];
    const log = openSync(instance.logFile, 'a');
    const child = spawn(program!, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LIMPETBAY_NODE_FILE: instance.settingsFile,
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.#children.add(child);
    Object.assign(instance, { child });
    instance.orders.clear();
    instance.earlySignals.clear();
    child.on('exit', (code, signal) => {
      this.#children.delete(child);
      Object.assign(instance, { child: null });
      this.onEnd(instance, code, signal);
    });
  }

  /** Sends a signal; records whether the process cannot handle it yet. */
  sendSignal(instance: Instance, signal: NodeJS.Signals): void {
    const bit = BIT_OF_SIGNAL.get(signal);
    const status = this.#readFile(instance, 'status');
    const ignored = BigInt(`0x${/^SigIgn:\s+(\w+)$/m.exec(status)?.[1] ?? '0'}`);
    const caught = BigInt(`0x${/^SigCgt:\s+(\w+)$/m.exec(status)?.[1] ?? '0'}`);
    const isHandled = bit === undefined || (((ignored | caught) >> bit) & 1n) === 1n;
    if (!isHandled) instance.earlySignals.add(signal);
    instance.child?.kill(signal);
  }

  /** Reads the peak of the resident memory of a running process. @returns bytes */
  readPeak(instance: Instance): number {
    return (
      Number(/^VmHWM:\s+(\d+) kB$/m.exec(this.#readFile(instance, 'status'))?.[1] ?? 0) *
      BYTES_PER_KB
    );
  }

  /**
   * Returns whether the main thread of a process got almost no processor since the last call,
   * though it could run then and now, or waited for a processor for some time in between.
   */
  checkStarved(instance: Instance): boolean {
    const last = this.#schedules.get(instance);
    const [ranNs = 0, waitedNs = 0] = this.#readFile(instance, 'schedstat').split(' ').map(Number);
    const isRunnable = /^State:\s+R/m.test(this.#readFile(instance, 'status'));
    this.#schedules.set(instance, { ranNs, waitedNs, isRunnable });
    if (last === undefined || ranNs < last.ranNs) return false;
    if (waitedNs - last.waitedNs > MAX_WAIT_NS) return true;
    return isRunnable && last.isRunnable && ranNs - last.ranNs < MIN_RUN_NS;
  }

  /** Kills all processes that are still running. */
  close(): void {
    for (const child of this.#children) child.kill('SIGKILL');
  }

  #readFile(instance: Instance, name: 'status' | 'schedstat'): string {
    try {
      return readFileSync(`/proc/${instance.child?.pid}/${name}`, 'utf8');
    } catch {
      return '';
    }
  }
}
