import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '@limpetbay/core';
import { MemoryMonitor, type Log, type MemorySample } from '../src/index.js';

const LIMIT_BYTES = 1000;

describe('MemoryMonitor', () => {
  let clock: ManualClock;
  let lines: [string, Record<string, unknown> | undefined][];
  let sample: MemorySample;
  let monitor: MemoryMonitor;

  beforeEach(() => {
    clock = new ManualClock();
    lines = [];
    sample = { resident: 100, heap: 50, external: 10, arrayBuffers: 5 };
    const add: Log['report'] = (sentence, fields) => lines.push([sentence, fields]);
    monitor = new MemoryMonitor({
      clock,
      log: { report: add, warn: add, alert: add },
      sample: () => sample,
      heapLimitBytes: 500,
      memoryLimitBytes: LIMIT_BYTES,
      listUses: () => ({ limpetbay_open_requests: 7 }),
    });
  });

  function runSeconds(seconds: number, resident: number): string[] {
    lines = [];
    for (let second = 0; second < seconds; second += 1) {
      sample = { ...sample, resident };
      monitor.check();
      clock.advance(1000);
    }
    return lines.map(([sentence]) => sentence);
  }

  // Guards against a kill at the memory limit after which the last line is old.
  it('logs every 5 s, and at once and each second near a limit', () => {
    expect(runSeconds(11, 100)).toEqual(['memory used', 'memory used', 'memory used']);
    expect(runSeconds(4, 800)).toEqual([
      'memory near its limit',
      'memory used',
      'memory used',
      'memory used',
    ]);
  });

  it('names the limit, what is used and what uses it', () => {
    runSeconds(1, 820);
    expect(lines[0]).toEqual([
      'memory near its limit',
      {
        kind: 'resident',
        percent: 82,
        next: 'the process is ended at the limit',
        residentBytes: 820,
        memoryLimitBytes: LIMIT_BYTES,
        heapBytes: 50,
        heapLimitBytes: 500,
        externalBytes: 10,
        arrayBufferBytes: 5,
        limpetbay_open_requests: 7,
      },
    ]);
  });

  // Guards against a warning each second while the memory moves around the threshold.
  it('warns again only after the memory was clearly below the limit', () => {
    runSeconds(1, 810);
    expect(runSeconds(3, 790)).not.toContain('memory near its limit');
    expect(runSeconds(3, 810)).not.toContain('memory near its limit');
    expect(runSeconds(1, 690)).toContain('memory below its limit again');
    expect(runSeconds(1, 810)).toEqual(['memory near its limit']);
  });
});
