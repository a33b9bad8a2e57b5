import { beforeEach, describe, expect, it } from 'vitest';
import {
  ManualClock,
  fingerprintPrefix,
  SuspectBreaker,
  Revision,
  SoundSuspects,
  type TargetEnd,
} from '../src/index.js';

const END_AT = '2026-01-01T00:00:00.000Z';

function createEnd(target: string, hadHead = true): TargetEnd {
  return { target, hadHead, isMidway: false, at: END_AT };
}

describe('SuspectBreaker', () => {
  let clock: ManualClock;
  let breaker: SuspectBreaker;

  beforeEach(() => {
    clock = new ManualClock();
    breaker = new SuspectBreaker({ clock, ownName: 'e1' });
  });

  function recordEnds(parts: readonly string[], targets: readonly string[]): void {
    for (const target of targets) breaker.recordEnd(createEnd(target), parts);
  }

  it('allows a part after one end, asks for a trial after two and blocks it after three', () => {
    recordEnds(['x'], ['t1']);
    expect(breaker.check(['f', 'x']).kind).toBe('allowed');
    recordEnds(['x'], ['t2']);
    expect(breaker.check(['f', 'x'])).toEqual({
      kind: 'trial',
      suspects: ['x'],
      isRequired: true,
    });
    recordEnds(['x'], ['t3']);
    expect(breaker.check(['f', 'x'])).toMatchObject({ kind: 'blocked', suspect: 'x', ends: 3 });
    expect(breaker.check(['f']).kind).toBe('allowed');
  });

  it('counts the same end once, whoever reports it', () => {
    expect(breaker.recordEnd(createEnd('t1'), ['x'])).toEqual(['x']);
    expect(breaker.recordEnd(createEnd('t1'), ['x'])).toEqual([]);
    expect(breaker.get('x')?.count).toBe(1);
  });

  it('doubles the time for which a part is blocked with each end', () => {
    recordEnds(['x'], ['t1', 't2', 't3']);
    clock.advance(30_001);
    expect(breaker.check(['x']).kind).toBe('trial');
    recordEnds(['x'], ['t4']);
    clock.advance(30_001);
    expect(breaker.check(['x']).kind).toBe('blocked');
    clock.advance(30_000);
    expect(breaker.check(['x']).kind).toBe('trial');
  });

  // Guards against a wrong suspicion that lasts.
  it('clears a part on which an answer began, and does not suspect it for a minute', () => {
    recordEnds(['f', 'x'], ['t1', 't2', 't3']);
    expect(breaker.recordBegun(['f'])).toEqual(['f']);
    expect(breaker.check(['f']).kind).toBe('allowed');
    recordEnds(['f', 'x'], ['t4', 't5', 't6']);
    expect(breaker.check(['f']).kind).toBe('allowed');
    expect(breaker.check(['x']).kind).toBe('blocked');
    clock.advance(60_001);
    recordEnds(['f'], ['t7', 't8', 't9']);
    expect(breaker.check(['f']).kind).toBe('blocked');
  });

  // Guards against parts of sound requests that are blocked with the one that ends targets.
  it('does not count an end that a part with more ends explains', () => {
    recordEnds(['f', 'x'], ['t1', 't2']);
    expect(breaker.check(['f']).kind).toBe('trial');
    recordEnds(['g', 'x'], ['t3']);
    expect(breaker.check(['f']).kind).toBe('allowed');
    expect(breaker.check(['g']).kind).toBe('allowed');
    expect(breaker.check(['x']).kind).toBe('blocked');
  });

  it('does not count requests that waited in the queue while an answer had begun', () => {
    breaker.recordEnd(createEnd('t1', false), ['q']);
    breaker.recordEnd(createEnd('t2', false), ['q']);
    expect(breaker.check(['q']).kind).toBe('trial');
    breaker.recordEnd(createEnd('t1'), ['x']);
    expect(breaker.check(['q']).kind).toBe('allowed');
  });

  it('blocks further requests during a trial, of this entry or of another', () => {
    recordEnds(['x'], ['t1', 't2']);
    breaker.startTrial('x');
    expect(breaker.check(['x']).kind).toBe('blocked');
    breaker.endTrial('x');
    expect(breaker.check(['x']).kind).toBe('trial');
    breaker.applyRecord('x', { ends: [], trial: 'e2' }, Revision.parse(5));
    expect(breaker.check(['x']).kind).toBe('blocked');
  });

  it('ignores a trial whose entry may be gone, and its own of an earlier run', () => {
    const ends = [createEnd('t1'), createEnd('t2')];
    breaker.applyRecord('x', { ends, trial: 'e2' }, Revision.parse(5));
    clock.advance(4000);
    expect(breaker.check(['x']).kind).toBe('trial');
    breaker.applyRecord('y', { ends, trial: 'e1' }, Revision.parse(6));
    expect(breaker.check(['y']).kind).toBe('trial');
    expect(breaker.get('y')?.isUnsaved).toBe(true);
  });

  it('merges stored and own ends and knows which are not stored', () => {
    recordEnds(['x'], ['t1']);
    breaker.applyRecord('x', { ends: [createEnd('t2')], trial: null }, Revision.parse(5));
    expect(breaker.get('x')).toMatchObject({ count: 2, revision: 5, isUnsaved: true });
    breaker.markSaved('x', Revision.parse(6), breaker.buildRecord('x'));
    expect(breaker.get('x')?.isUnsaved).toBe(false);
    breaker.removeRecord('x');
    expect(breaker.get('x')).toBeUndefined();
  });

  it('keeps ends that are not stored when the record is removed', () => {
    recordEnds(['x'], ['t1']);
    breaker.removeRecord('x');
    expect(breaker.get('x')).toMatchObject({ count: 1, revision: 0 });
  });

  // Guards against suspicions of parts that are never sent again.
  it('lists parts as expired a minute after they could be sent again', () => {
    recordEnds(['x'], ['t1', 't2', 't3']);
    clock.advance(89_000);
    expect(breaker.listExpired()).toEqual([]);
    clock.advance(2000);
    expect(breaker.listExpired()).toEqual(['x']);
  });

  // Guards against callers that fill the memory with parts, which they choose.
  it('keeps a bounded number of parts, those with the most ends', () => {
    recordEnds(['x'], ['t1', 't2', 't3']);
    for (let index = 0; index < 2000; index += 1) recordEnds([`junk${index}`], [`u${index}`]);
    expect(breaker.list().length).toBeLessThanOrEqual(256);
    expect(breaker.check(['x']).kind).toBe('blocked');
    for (let index = 0; index < 100; index += 1) recordEnds(['x'], [`v${index}`]);
    expect(breaker.buildRecord('x').ends.length).toBeLessThanOrEqual(16);
  });
});

describe('SuspectBreaker with fingerprints of requests', () => {
  const REQUEST = `${fingerprintPrefix}1`;
  const OTHER_REQUEST = `${fingerprintPrefix}2`;

  let clock: ManualClock;
  let breaker: SuspectBreaker;

  beforeEach(() => {
    clock = new ManualClock();
    breaker = new SuspectBreaker({ clock, ownName: 'e1' });
  });

  function recordEnds(ids: readonly string[], targets: readonly string[]): void {
    for (const target of targets) breaker.recordEnd(createEnd(target), ids);
  }

  // Guards against copies that are sent by several entries after the first end.
  it('asks for a trial of a request after one end and blocks it after two', () => {
    recordEnds([REQUEST], ['t1']);
    expect(breaker.check([REQUEST])).toMatchObject({ kind: 'trial', isRequired: false });
    recordEnds([REQUEST], ['t2']);
    expect(breaker.check([REQUEST])).toMatchObject({ kind: 'blocked', suspect: REQUEST, ends: 2 });
    expect(breaker.check([OTHER_REQUEST]).kind).toBe('allowed');
    clock.advance(30_001);
    expect(breaker.check([REQUEST])).toMatchObject({ kind: 'trial', isRequired: true });
  });

  // Guards against callers that poll and are refused for long because all targets ended at once.
  it('only puts a request on trial that was answered within the last minute', () => {
    breaker.recordComplete([REQUEST]);
    recordEnds([REQUEST], ['t1']);
    expect(breaker.check([REQUEST]).kind).toBe('allowed');
    recordEnds([REQUEST], ['t2']);
    expect(breaker.check([REQUEST]).kind).toBe('trial');
    recordEnds([REQUEST], ['t3', 't4', 't5', 't6', 't7', 't8']);
    expect(breaker.check([REQUEST])).toMatchObject({ kind: 'trial', isRequired: true });
    breaker.startTrial(REQUEST);
    recordEnds([REQUEST], ['t9']);
    expect(breaker.check([REQUEST]).kind).toBe('blocked');
  });

  // Guards against a block of an hour because many targets ended in the same outage.
  it('blocks a request for as long after the ends of many targets as after those of two', () => {
    recordEnds([REQUEST], ['t1', 't2', 't3', 't4', 't5', 't6', 't7', 't8']);
    expect(breaker.check([REQUEST])).toMatchObject({ kind: 'blocked', retryAfterMs: 30_000 });
  });

  // Guards against a request that is cleared by sound ones with the same prompt.
  it('is cleared by its own answer only', () => {
    recordEnds([REQUEST, 'x'], ['t1', 't2', 't3']);
    breaker.recordBegun([OTHER_REQUEST, 'x']);
    expect(breaker.check([REQUEST, 'x']).kind).toBe('blocked');
    breaker.recordBegun([REQUEST, 'x']);
    expect(breaker.check([REQUEST, 'x']).kind).toBe('allowed');
  });

  // Guards against prompt parts that are blocked because one request with them ends targets.
  it('does not count ends against a part that one request explains', () => {
    recordEnds([REQUEST, 'x'], ['t1', 't2', 't3']);
    expect(breaker.check([OTHER_REQUEST, 'x']).kind).toBe('allowed');
  });

  // Guards against a part that ends targets and is hidden behind a request that is repeated.
  it('counts ends against a part as soon as another request with it ends a target', () => {
    recordEnds([REQUEST, 'x'], ['t1', 't2', 't3']);
    recordEnds([OTHER_REQUEST, 'x'], ['t4']);
    expect(breaker.check(['x']).kind).toBe('blocked');
  });

  // Guards against a store call for each request that an ordinary crash breaks off.
  it('is stored from its second end on', () => {
    recordEnds([REQUEST], ['t1']);
    expect(breaker.shouldSave(REQUEST)).toBe(false);
    recordEnds([REQUEST], ['t2']);
    expect(breaker.shouldSave(REQUEST)).toBe(true);
  });

  // Guards against callers that fill the memory, or displace a request that ends targets.
  it('keeps a bounded number of requests, those with the most ends', () => {
    recordEnds([REQUEST], ['t1', 't2']);
    for (let index = 0; index < 2000; index += 1) {
      recordEnds([`${fingerprintPrefix}junk${index}`], [`u${index}`]);
    }
    expect(breaker.list().length).toBeLessThanOrEqual(256);
    expect(breaker.check([REQUEST])).toMatchObject({ kind: 'blocked', suspect: REQUEST });
  });
});

describe('SoundSuspects', () => {
  it('keeps a bounded number of parts, the most recent ones', () => {
    const parts = new SoundSuspects(new ManualClock());
    for (let index = 0; index < 1_000_000; index += 1) parts.add(`p${index}`);
    expect(parts.count()).toBeLessThanOrEqual(4096);
    expect(parts.has('p999999')).toBe(true);
    expect(parts.has('p0')).toBe(false);
  });
});
