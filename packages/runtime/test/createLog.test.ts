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

describe('createLog', () => {
  it('bounds its volume under overload without dropping failures', () => {
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
    const routineCount = lines.filter(({ level }) => level === 'info').length;
    // 200 lines per second for ten seconds after an initial burst of 400.
    expect(routineCount).toBeLessThanOrEqual(2430);
    expect(lines.filter(({ sentence }) => sentence === 'attempt failed').length).toBe(1000);
    let reportedDrops = 0;
    for (const { sentence, lines: count } of lines) {
      if (sentence === 'log lines dropped') reportedDrops += count as number;
    }
    expect(reportedDrops).toBe(dropped);
    expect(dropped).toBe(10_001 - routineCount);
  });

  it('drops lines while the reader is stalled and reports the drops once it reads again', async () => {
    const stream = new PassThrough({ highWaterMark: 16_384 });
    const clock = new ManualClock();
    const log = createLog('view', { format: 'json', level: 'info', stream, clock });
    for (let index = 0; index < 100_000; index += 1) {
      log.report('target registered', { target: `${index}${'x'.repeat(2000)}` });
      clock.advance(10);
    }
    // The writable and readable buffers of the stream fill up before lines are dropped.
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

  it('does not block or grow a process whose standard output is not read', async () => {
    const script = `
      import { createLog } from '@limpetbay/runtime';
      const log = createLog('request', { format: 'json', level: 'info', stream: process.stdout });
      let left = 3000;
      const timer = setInterval(() => {
        for (let index = 0; index < 20; index += 1) log.warn('attempt failed', { cause: 'x'.repeat(300) });
        left -= 20;
        if (left > 0) return;
        clearInterval(timer);
        process.stderr.write(String(process.memoryUsage().rss), () => process.exit(0));
      }, 10);`;
    const child = spawn(process.execPath, ['--input-type=module', '-e', script], {
      cwd: import.meta.dirname,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let rssText = '';
    child.stderr.on('data', (data: Buffer) => {
      rssText += data.toString();
    });
    const code = await new Promise((resolve) => {
      child.on('exit', resolve);
    });
    expect(code).toBe(0);
    expect(Number(rssText)).toBeLessThan(100 * 1024 * 1024);
  }, 20_000);
});
