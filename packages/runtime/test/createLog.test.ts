import { spawn } from 'node:child_process';
import { PassThrough } from 'node:stream';
import { describe, expect, it } from 'vitest';
import { ManualClock } from '@limpetbay/core';
import { createLog } from '../src/index.js';

function readLines(stream: PassThrough): Record<string, unknown>[] {
  const text = (stream.read() as Buffer | null)?.toString() ?? '';
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Record<string, unknown>);
}

describe('a log', () => {
  it('keeps its volume bounded at ten times the load, failures first', () => {
    const stream = new PassThrough({ highWaterMark: 10_000_000 });
    const clock = new ManualClock();
    let dropped = 0;
    const log = createLog('request', {
      format: 'json',
      level: 'info',
      stream,
      clock,
      onDrop: () => {
        dropped += 1;
      },
    });
    for (let ms = 0; ms < 10_000; ms += 1) {
      log.report('request sent', { id: ms });
      if (ms % 10 === 0) log.warn('attempt failed', { id: ms });
      clock.advance(1);
    }
    clock.advance(100);
    log.report('request sent', { id: 'last' });
    const lines = readLines(stream);
    const routine = lines.filter(({ level }) => level === 'info').length;
    // 200 lines a second for ten seconds, and 400 at once at the start.
    expect(routine).toBeLessThanOrEqual(2430);
    expect(lines.filter(({ sentence }) => sentence === 'attempt failed').length).toBe(1000);
    let told = 0;
    for (const { sentence, lines: count } of lines) {
      if (sentence === 'log lines dropped') told += count as number;
    }
    expect(told).toBe(dropped);
    expect(dropped).toBe(10_001 - routine);
  });

  it('drops lines that its reader leaves unread and says so once it reads again', async () => {
    const stream = new PassThrough({ highWaterMark: 16_384 });
    const clock = new ManualClock();
    const log = createLog('view', { format: 'json', level: 'info', stream, clock });
    for (let at = 0; at < 100_000; at += 1) {
      log.report('target registered', { target: `${at}${'x'.repeat(2000)}` });
      clock.advance(10);
    }
    // Both halves of the stream fill up before lines are dropped.
    expect(stream.writableLength + stream.readableLength).toBeLessThan(300_000);
    while (stream.writableLength + stream.readableLength > 0) {
      stream.read();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    log.report('target registered', { target: 'y' });
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect(readLines(stream)[0]).toMatchObject({ sentence: 'log lines dropped' });
  });

  it('never blocks a process whose standard output nobody reads', async () => {
    const script = `
      import { createLog } from '@limpetbay/runtime';
      const log = createLog('request', { format: 'json', level: 'info', stream: process.stdout });
      let left = 3000;
      const timer = setInterval(() => {
        for (let at = 0; at < 20; at += 1) log.warn('attempt failed', { cause: 'x'.repeat(300) });
        left -= 20;
        if (left > 0) return;
        clearInterval(timer);
        process.stderr.write(String(process.memoryUsage().rss), () => process.exit(0));
      }, 10);`;
    const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
      cwd: import.meta.dirname,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let text = '';
    child.stderr.on('data', (data: Buffer) => {
      text += data.toString();
    });
    const code = await new Promise((resolve) => {
      child.on('exit', resolve);
    });
    expect(code).toBe(0);
    expect(Number(text)).toBeLessThan(100 * 1024 * 1024);
  }, 20_000);
});
