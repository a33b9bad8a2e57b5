import { describe, expect, it } from 'vitest';
import { ManualClock, ProgressWatch, computeEngineLimit, silenceLimits } from '@limpetbay/core';

const INTERVAL_MS = 50;

function buildWatch() {
  const clock = new ManualClock();
  const watch = new ProgressWatch(clock, INTERVAL_MS);
  const run = (ms: number, step: () => void = () => {}) => {
    const silent = [];
    for (let passed = 0; passed < ms; passed += INTERVAL_MS) {
      clock.advance(INTERVAL_MS);
      step();
      for (const found of watch.poll()) silent.push({ ...found, atMs: clock.getNow() });
    }
    return silent;
  };
  return { clock, watch, run };
}

describe('ProgressWatch', () => {
  // Guards against an attempt that waits until its deadline on a connection that went silent, and
  // against replacing the channels of other peers.
  it('reports a silent stream and its channel within the limit and one interval', () => {
    const { watch, run } = buildWatch();
    watch.open('attempt-1', 'agent-a', silenceLimits.attemptMs);
    watch.open('attempt-2', 'agent-b', silenceLimits.attemptMs);
    const silent = run(10_000, () => watch.mark('attempt-2'));
    expect(silent).toHaveLength(1);
    expect(silent[0]).toMatchObject({
      stream: 'attempt-1',
      channel: 'agent-a',
      replaceChannel: true,
    });
    expect(silent[0]?.atMs).toBeLessThanOrEqual(silenceLimits.attemptMs + INTERVAL_MS);
  });

  // Guards against interrupting working streams because another one on their channel hangs.
  it('keeps a channel on which other streams make progress', () => {
    const { watch, run } = buildWatch();
    watch.open('s1', 'engine', 1000);
    watch.open('s2', 'engine', 1000);
    const silent = run(3000, () => watch.mark('s2'));
    expect(silent.map(({ stream, replaceChannel }) => [stream, replaceChannel])).toEqual([
      ['s1', false],
    ]);
  });

  // Guards against replacing a channel once for each of its streams.
  it('asks for the replacement of a channel once', () => {
    const { watch, run } = buildWatch();
    for (const stream of ['s1', 's2', 's3']) watch.open(stream, 'agent-a', 1000);
    expect(run(3000).filter(({ replaceChannel }) => replaceChannel)).toHaveLength(1);
  });

  // Guards against giving up all attempts after this process itself was paused, and against a pause
  // that hides a peer which is silent afterwards.
  it('does not count a pause of its own process', () => {
    const { clock, watch, run } = buildWatch();
    watch.open('s1', 'agent-a', 3000);
    run(1000);
    clock.advance(20_000);
    expect(run(1900)).toEqual([]);
    expect(run(500)).toHaveLength(1);
  });

  // Guards against taking a long prefill for silence, and a hung fast engine for a slow one.
  it('derives the limit for an engine from its step time', () => {
    expect(computeEngineLimit(30, 0)).toBe(600);
    expect(computeEngineLimit(5, 0)).toBe(500);
    expect(computeEngineLimit(30, 2000)).toBe(4600);
  });
});
