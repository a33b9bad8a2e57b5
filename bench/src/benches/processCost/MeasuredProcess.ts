import { spawn, type ChildProcess } from 'node:child_process';
import { readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { readCommand } from '@limpetbay/soak';
import type { ProcessWork } from './ProcessWork.js';

interface MeasuredProcessOptions {
  readonly program: 'agent' | 'entry';
  readonly folder: string;
  readonly metricsPort: number;
  readonly host: string;
  /** Fields of the settings file. */
  readonly settings: Readonly<Record<string, string>>;
}

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));

/** Clock ticks of Linux, in which `/proc` counts processor time. */
const TICKS_PER_SECOND = 100;

/** Positions of the user and system time in `/proc/PID/stat`, after the name of the program. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** A program of the build, run as the deploy file says, and the work that it has done. */
export class MeasuredProcess {
  readonly #options: MeasuredProcessOptions;

  readonly #settingsFile: string;

  readonly #child: ChildProcess;

  constructor(options: MeasuredProcessOptions) {
    this.#options = options;
    const { program, folder, metricsPort, settings } = options;
    this.#settingsFile = join(folder, `${program}.conf`);
    const lines = Object.entries(settings).map(([name, value]) => `${name}=${value}\n`);
    writeFileSync(this.#settingsFile, lines.join(''));
    // The code cache of the build fits the options of the deploy file only.
    const [executable = process.execPath, ...args] = readCommand(ROOT, program);
    this.#child = spawn(executable, [...args, '--metrics-port', String(metricsPort)], {
      cwd: ROOT,
      env: { PATH: process.env.PATH, LIMPETBAY_NODE_FILE: this.#settingsFile },
      stdio: 'ignore',
    });
  }

  /** Reads what the process has done since its start. */
  async readWork(): Promise<ProcessWork> {
    const { host, metricsPort } = this.#options;
    const { pid } = this.#child;
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    const wakeups = Number(/^voluntary_ctxt_switches:\s+(\d+)$/m.exec(status)?.[1]);
    const metrics = await fetch(`http://${host}:${metricsPort}/metrics`)
      .then((answer) => answer.text())
      .catch(() => '');
    let messages = 0;
    let bytes = 0;
    for (const line of metrics.split('\n')) {
      const value = Number(line.slice(line.lastIndexOf(' ')));
      if (line.startsWith('limpetbay_datagrams_total')) messages += value;
      if (line.startsWith('limpetbay_datagram_bytes_total')) bytes += value;
    }
    return { processorMs: (ticks * 1000) / TICKS_PER_SECOND, wakeups, messages, bytes };
  }

  close(): void {
    this.#child.kill('SIGKILL');
    rmSync(this.#settingsFile, { force: true });
  }
}
