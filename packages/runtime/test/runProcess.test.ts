import { spawn, type ChildProcess, type StdioOptions } from 'node:child_process';
import { afterEach, describe, expect, it } from 'vitest';
import { waitUntil } from '@limpetbay/runtime';

const RUNTIME = new URL('../dist/index.js', import.meta.url).href;
const MAX_WAIT_MS = 8000;

describe('a supervised process', () => {
  let child: ChildProcess;
  let output: string;

  afterEach(() => {
    child.kill('SIGKILL');
  });

  /** Starts a process whose start function has a body of JavaScript. */
  function launch(startBody: string): void {
    const script = `
      import { MetricRegistry, createLog, runProcess } from '${RUNTIME}';
      const log = createLog('process', { format: 'json', level: 'info', stream: process.stdout });
      const metrics = new MetricRegistry();
      const keepAlive = setInterval(() => {}, 1000);
      const running = {
        stop: async () => log.report('stopped by the test'),
        applySettings: () => {},
      };
      await runProcess({
        program: { role: 'test', version: '1', settingsFile: null, memoryLimitBytes: null },
        log, metrics, reloader: null,
        start: async (signal) => { ${startBody}; return running; },
      });
      log.report('serving');`;
    output = '';
    const stdio: StdioOptions = ['ignore', 'pipe', 'pipe', 'ipc'];
    child = spawn(process.execPath, ['--input-type=module', '-e', script], { stdio });
    const addOutput = (data: Buffer): void => {
      output += data.toString('utf8');
    };
    child.stdout!.on('data', addOutput);
    child.stderr!.on('data', addOutput);
  }

  async function waitForOutput(text: string): Promise<void> {
    const hasArrived = await waitUntil(() => output.includes(text), MAX_WAIT_MS);
    if (!hasArrived) throw new Error(`no "${text}" in: ${output}`);
  }

  async function waitForEnd(): Promise<number | NodeJS.Signals> {
    await waitUntil(() => child.exitCode !== null || child.signalCode !== null, MAX_WAIT_MS);
    return child.exitCode ?? child.signalCode!;
  }

  // Guards against one odd input whose exception ends the process with all of its requests.
  it.each([
    ['an exception in a timer', `setTimeout(() => { throw new Error('odd input') }, 100)`],
    [
      'a rejected promise',
      `setTimeout(() => { void Promise.reject(new Error('odd input')) }, 100)`,
    ],
    ['a value that is no error', `setTimeout(() => { throw null }, 100)`],
  ])('continues after %s and logs it', async (_name, startBody) => {
    launch(startBody);
    await waitForOutput('uncaught error; continuing');
    child.kill('SIGTERM');
    await waitForOutput('stopped by the test');
    expect(await waitForEnd()).toBe(0);
  });

  // Guards against a process that ends silently, or hangs, because it could not start.
  it.each([
    ['a failed start', `throw new Error('address in use')`, 'could not start'],
    [
      'an exception during the start',
      `setTimeout(() => { throw new Error('odd input') }, 100); await new Promise(() => {})`,
      'uncaught error during the start',
    ],
  ])('ends with status 1 after %s', async (_name, startBody, sentence) => {
    launch(startBody);
    expect(await waitForEnd()).toBe(1);
    expect(output).toContain(sentence);
  });

  // Guards against an error of another part during the start that ends a process that already serves.
  it('continues after an uncaught error beside the start', async () => {
    launch(`
      setTimeout(() => { throw new Error('odd input') }, 100);
      await new Promise((resolve) => setTimeout(resolve, 500));`);
    await waitForOutput('serving');
    expect(output).toContain('uncaught error during the start; continuing');
    child.kill('SIGTERM');
    expect(await waitForEnd()).toBe(0);
  });

  // Guards against a stop that waits for an address that another process holds.
  it('stops at once during a start that can be aborted', async () => {
    launch(`
      log.report('starting');
      await new Promise((_, reject) => signal.addEventListener('abort', () => reject(signal.reason)))`);
    await waitForOutput('"sentence":"starting"');
    child.kill('SIGTERM');
    expect(await waitForEnd()).toBe(0);
    expect(output).toContain('stopped during the start');
  });

  // Guards against a signal during the start that ends the process before it can stop gracefully.
  it('stops after its start if the stop signal arrives during it', async () => {
    launch(`log.report('starting'); await new Promise((resolve) => setTimeout(resolve, 500))`);
    await waitForOutput('"sentence":"starting"');
    child.kill('SIGHUP');
    child.kill('SIGTERM');
    expect(await waitForEnd()).toBe(0);
    expect(output).toContain('stopped by the test');
  });

  // Guards against a reader of the log that goes away and takes the process with it.
  it('continues after the reader of its log has gone', async () => {
    launch(`
      setInterval(() => log.report('routine'), 10);
      running.stop = async () => { process.send(metrics.listCounters()); };`);
    let counters: [string, number][] = [];
    child.on('message', (message) => {
      counters = message as [string, number][];
    });
    await waitForOutput('routine');
    child.stdout!.destroy();
    child.stderr!.destroy();
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    expect(child.exitCode).toBeNull();
    expect(child.signalCode).toBeNull();
    child.kill('SIGTERM');
    expect(await waitForEnd()).toBe(0);
    expect(counters.map(([name]) => name)).toEqual(['limpetbay_log_write_errors_total']);
  });

  // Guards against a stop that fails and leaves the process running, or reports success.
  it('ends with status 1 if its stop fails', async () => {
    launch(`running.stop = () => Promise.reject(new Error('lease not ended'))`);
    await waitForOutput('serving');
    child.kill('SIGTERM');
    expect(await waitForEnd()).toBe(1);
    expect(output).toContain('graceful stop failed');
  });
});
