import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { waitUntil } from '@limpetbay/runtime';
import { ScriptFixture } from './support/ScriptFixture.js';

describe('the end of a process', () => {
  let script: ScriptFixture;

  beforeEach(() => {
    script = new ScriptFixture();
  });

  afterEach(() => {
    script.close();
  });

  // Guards against an end whose cause stands in no log line.
  it.each([
    [
      'a failed start',
      `throw new Error('address in use')`,
      1,
      /^could not start: .*address in use/,
    ],
    [
      'an exception during the start',
      `setTimeout(() => { throw new Error('odd') }, 50); await new Promise(() => {})`,
      1,
      /^uncaught exception during the start: .*odd/,
    ],
    ['a call of exit', `setTimeout(() => process.exit(7), 50)`, 7, /^the program called exit$/],
    ['no work that is left', `clearInterval(keepAlive)`, 0, /^no work was left$/],
    [
      'a start that waits for nothing',
      `clearInterval(keepAlive); await new Promise(() => {})`,
      13,
      /^the start waits for an event that cannot occur$/,
    ],
  ])('after %s has a last line with its status and cause', async (_name, body, status, cause) => {
    script.launch(body);
    script.readLog();
    expect(await script.waitForEnd()).toBe(status);
    await script.waitForLog();
    const last = script.getLastLine();
    expect(last).toMatchObject({ sentence: 'process ended', status });
    expect(last?.cause).toMatch(cause);
  });

  // Guards against a planned end that cannot be told from others by its log.
  it.each([
    ['', 0, /^graceful stop after SIGTERM finished$/],
    [
      `running.stop = () => Promise.reject(new Error('lease not ended'))`,
      1,
      /^graceful stop after SIGTERM failed: .*lease not ended/,
    ],
  ])('after a stop signal names the signal (%s)', async (body, status, cause) => {
    script.launch(body);
    script.readLog();
    await script.waitForLine('serving');
    script.sendSignal('SIGTERM');
    expect(await script.waitForEnd()).toBe(status);
    await script.waitForLog();
    const last = script.getLastLine();
    expect(last).toMatchObject({ sentence: 'process ended', status });
    expect(last?.cause).toMatch(cause);
  });

  // Guards against last lines that are cut because their reader is a moment behind.
  it('delivers the last lines to a reader that is behind', async () => {
    script.launch(`
      for (let i = 0; i < 10; i += 1) process.stdout.write('x'.repeat(29_999) + '\\n');
      process.stderr.write('serving');
      throw new Error('odd')`);
    await waitUntil(() => script.errors.includes('serving'), 8000);
    await new Promise((resolve) => {
      setTimeout(resolve, 50);
    });
    script.readLog();
    expect(await script.waitForEnd()).toBe(1);
    await script.waitForLog();
    expect(script.getLastLine()).toMatchObject({ sentence: 'process ended', status: 1 });
  });

  // Guards against a process that does not end because nobody reads its log.
  it('does not wait for a reader that does not read', async () => {
    script.launch(`
      process.stdout.write('x'.repeat(1_000_000) + '\\n');
      process.stderr.write('serving');
      keepAlive.unref();
      setTimeout(() => process.kill(process.pid, 'SIGTERM'), 100)`);
    const startMs = performance.now();
    expect(await script.waitForEnd()).toBe(0);
    expect(performance.now() - startMs).toBeLessThan(3000);
  });

  // Guards against an end at the heap limit whose log does not tell what it was.
  it('at the heap limit follows a line that names the limit', async () => {
    script.launch(
      `const kept = [];
       const add = () => kept.push(new Array(131_072).fill(1.5));
       for (let i = 0; i < 30; i += 1) add();
       setInterval(add, 200)`,
      ['--max-old-space-size=48'],
    );
    script.readLog();
    expect(await script.waitForEnd()).toBe('SIGABRT');
    await script.waitForLog();
    expect(script.errors).toContain('FATAL ERROR');
    const near = script.listLines().find(({ sentence }) => sentence === 'memory near its limit');
    expect(near).toMatchObject({ kind: 'heap', level: 'warn', heapLimitBytes: 48 * 1_048_576 });
    const last = script.getLastLine();
    expect(Number(last?.heapBytes)).toBeGreaterThan(0.8 * 48 * 1_048_576);
  });

  // Guards against a start that leaves open which program ran with which limits.
  it('is preceded by a first line about the program', async () => {
    script.launch('', ['--max-old-space-size=48']);
    script.readLog();
    await script.waitForLine('serving');
    expect(script.listLines()[0]).toMatchObject({
      sentence: 'process starting',
      role: 'test',
      version: '1',
      node: process.version,
      heapLimitBytes: 48 * 1_048_576,
      memoryLimitBytes: null,
      settingsFile: null,
    });
    expect(script.listLines()[0]?.pid).toBeGreaterThan(0);
  });
});
