import { describe, expect, it } from 'vitest';
import {
  ManualClock,
  ProgressMonitor,
  computeEngineTimeout,
  progressTimeouts,
} from '@limpetbay/core';

const INTERVAL_MS = 50;

function createWatch() {
  const clock = new ManualClock();
  const watch = new ProgressMonitor(clock, INTERVAL_MS);
  const run = (ms: number, step: () => void = () => {}) => {
    const stalled = [];
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += INTERVAL_MS) {
      clock.advance(INTERVAL_MS);
      step();
      for (const stream of watch.poll()) stalled.push({ ...stream, atMs: clock.getNow() });
    }
    return stalled;
  };
  return { clock, watch, run };
}

describe('ProgressWatch', () => {
  // Guards against an attempt that waits until its deadline on a stalled connection, and against
  // replacing the connections of other peers.
  it('reports a stalled stream and its connection within the timeout and one interval', () => {
    const { watch, run } = createWatch();
    watch.add('attempt-1', 'agent-a', progressTimeouts.attemptMs);
    watch.add('attempt-2', 'agent-b', progressTimeouts.attemptMs);
    const stalled = run(10_000, () => watch.recordProgress('attempt-2'));
    expect(stalled).toHaveLength(1);
    expect(stalled[0]).toMatchObject({
      stream: 'attempt-1',
      connection: 'agent-a',
      replaceChannel: true,
    });
    expect(stalled[0]?.atMs).toBeLessThanOrEqual(progressTimeouts.attemptMs + INTERVAL_MS);
  });

  // Guards against interrupting working streams because another one on their connection has
  // stalled.
  it('keeps a connection on which other streams make progress', () => {
    const { watch, run } = createWatch();
    watch.add('s1', 'engine', 1000);
    watch.add('s2', 'engine', 1000);
    const stalled = run(3000, () => watch.recordProgress('s2'));
    expect(stalled.map(({ stream, replaceChannel }) => [stream, replaceChannel])).toEqual([
      ['s1', false],
    ]);
  });

  // Guards against replacing a connection once for each of its streams.
  it('reports once that a connection must be replaced', () => {
    const { watch, run } = createWatch();
    for (const stream of ['s1', 's2', 's3']) watch.add(stream, 'agent-a', 1000);
    expect(run(3000).filter(({ replaceChannel }) => replaceChannel)).toHaveLength(1);
  });

  // Guards against giving up all attempts after a pause of this process, and against a pause that
  // hides a peer which is unresponsive afterwards.
  it('does not count a pause of its own process', () => {
    const { clock, watch, run } = createWatch();
    watch.add('s1', 'agent-a', 3000);
    run(1000);
    clock.advance(20_000);
    expect(run(1900)).toEqual([]);
    expect(run(500)).toHaveLength(1);
  });

  // Guards against treating a long prefill as a stall, and a stalled fast engine as a slow one.
  it('derives the timeout of an engine from its step time', () => {
    expect(computeEngineTimeout(30, 0)).toBe(600);
    expect(computeEngineTimeout(5, 0)).toBe(500);
    expect(computeEngineTimeout(30, 2000)).toBe(4600);
  });
});
