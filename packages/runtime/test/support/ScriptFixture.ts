import { spawn, type ChildProcess } from 'node:child_process';
import { waitUntil } from '@limpetbay/runtime';

const RUNTIME = new URL('../../dist/index.js', import.meta.url).href;
const MAX_WAIT_MS = 8000;

/** A log line of the script. */
interface ScriptLine {
  readonly sentence: string;
  readonly [field: string]: unknown;
}

/** Runs a script under a supervisor as a process of its own. */
export class ScriptFixture {
  #child: ChildProcess | null = null;

  #output = '';

  /** What the process wrote to standard error. */
  errors = '';

  /**
   * Starts a process.
   *
   * @param startBody JavaScript of the function that starts the program
   * @param nodeOptions options of Node.js
   */
  launch(startBody: string, nodeOptions: readonly string[] = []): void {
    const script = `
      import { MetricRegistry, createLog, runProcess } from '${RUNTIME}';
      const log = createLog('process', { format: 'json', level: 'info', stream: process.stdout });
      const metrics = new MetricRegistry();
      const keepAlive = setInterval(() => {}, 1000);
      const running = { stop: async () => {}, applySettings: () => {} };
      await runProcess({
        program: { role: 'test', version: '1', settingsFile: null, memoryLimitBytes: null },
        log, metrics, reloader: null,
        start: async () => { ${startBody}; return running; },
      });
      log.report('serving');`;
    const args = [...nodeOptions, '--input-type=module', '-e', script];
    this.#child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    this.#child.stderr!.on('data', (data: Buffer) => {
      this.errors += data.toString('utf8');
    });
  }

  /** Reads the log from now on. */
  readLog(): void {
    this.#child!.stdout!.on('data', (data: Buffer) => {
      this.#output += data.toString('utf8');
    });
  }

  sendSignal(signal: NodeJS.Signals): void {
    this.#child!.kill(signal);
  }

  async waitForLine(sentence: string): Promise<void> {
    const hasLine = (): boolean => this.listLines().some((line) => line.sentence === sentence);
    if (!(await waitUntil(hasLine, MAX_WAIT_MS))) throw new Error(`no line: ${this.#output}`);
  }

  /** Waits for the end of the process. @returns its exit status, or the signal that ended it */
  async waitForEnd(): Promise<number | NodeJS.Signals | null> {
    const child = this.#child!;
    await waitUntil(() => child.exitCode !== null || child.signalCode !== null, MAX_WAIT_MS);
    return child.exitCode ?? child.signalCode;
  }

  /** Waits until all that the process wrote was read. */
  async waitForLog(): Promise<void> {
    await waitUntil(() => this.#child!.stdout!.readableEnded, MAX_WAIT_MS);
  }

  listLines(): ScriptLine[] {
    const lines: ScriptLine[] = [];
    for (const text of this.#output.split('\n').slice(0, -1)) {
      if (text.startsWith('{')) lines.push(JSON.parse(text) as ScriptLine);
    }
    return lines;
  }

  getLastLine(): ScriptLine | undefined {
    const lines = this.listLines();
    return lines[lines.length - 1];
  }

  close(): void {
    this.#child?.kill('SIGKILL');
  }
}
