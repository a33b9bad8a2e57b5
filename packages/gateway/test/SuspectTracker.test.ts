import { describe, expect, it } from 'vitest';
import { DirectRoute } from '@limpetbay/core';
import { SuspectTracker } from '../src/index.js';

const ROUTE: DirectRoute = DirectRoute.parse({
  name: 'r',
  host: 'h',
  prefix: '/a/',
  kind: 'safe',
  maxAttempts: 2,
  timeoutMs: 1000,
  objectiveMs: 100,
  gapMs: null,
  patienceMs: 1000,
  priority: 1,
  isPublic: true,
  isResumable: false,
  services: [{ service: 's', weight: 1 }],
});

describe('SuspectTracker', () => {
  function createTracker(): {
    tracker: SuspectTracker;
    begun: (readonly string[])[];
    complete: (readonly string[])[];
  } {
    const begun: (readonly string[])[] = [];
    const complete: (readonly string[])[] = [];
    const breaker = {
      recordBegun: (parts: readonly string[]) => begun.push(parts),
      recordComplete: (parts: readonly string[]) => complete.push(parts),
    };
    const tracker = new SuspectTracker({
      breaker: breaker as never,
      endCheck: {} as never,
      suspects: ['x'],
    });
    return { tracker, begun, complete };
  }

  it('reports that an answer began at its second batch of events', () => {
    const { tracker, begun } = createTracker();
    tracker.startAttempt(false);
    tracker.handleEvents();
    expect(begun).toEqual([]);
    tracker.handleEvents();
    expect(begun).toEqual([['x']]);
  });

  // Guards against a request that is taken for sound because it ended two targets in turn.
  it('takes only a whole answer for a complete one, not the rest of a resumed one', () => {
    const { tracker, complete } = createTracker();
    const stream: DirectRoute = { ...ROUTE, kind: 'stream' };
    tracker.startAttempt(true);
    tracker.handleEvents();
    tracker.handleDone(stream, 200);
    expect(complete).toEqual([]);
    tracker.startAttempt(false);
    tracker.handleEvents();
    tracker.handleDone(stream, 200);
    expect(complete).toEqual([['x']]);
  });

  // Guards against callers that clear a blocked part with requests that targets reject.
  it('does not take an error answer or an empty stream for an answer that began', () => {
    const { tracker, begun, complete } = createTracker();
    tracker.handleDone(ROUTE, 400);
    tracker.handleDone({ ...ROUTE, kind: 'stream' }, 200);
    tracker.handleDone({ ...ROUTE, kind: 'stream' }, 404);
    expect(begun).toEqual([]);
    expect(complete).toEqual([]);
    tracker.handleDone(ROUTE, 200);
    expect(complete).toEqual([['x']]);
  });
});
