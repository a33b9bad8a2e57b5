import { beforeEach, describe, expect, it } from 'vitest';
import { Incarnation, ServiceTimeBaseline, Ramp, UsageWindow } from '@limpetbay/core';
import type { EngineStatus, TargetAdmission, UsageSummary } from '@limpetbay/core';
import { AdmissionFixture, WARM } from './admissionFixture.js';

const ENGINE: EngineStatus = {
  startedAt: 1,
  stepTimeMs: 20,
  waiting: 0,
  kvFree: 1,
  cacheUsed: 0.5,
};

const GOOD: UsageSummary = {
  lengthMs: 1000,
  samples: 20,
  isRepresentative: true,
  serviceTimeRatio: 1,
  serviceTimeSpread: 0.1,
  errorShare: 0,
  meanInFlight: 10,
  hasReachedLimit: true,
  meanUtilization: 0.9,
  maxWaiting: 0,
};

let fixture: AdmissionFixture;
let admission: TargetAdmission;

beforeEach(() => {
  fixture = new AdmissionFixture();
  admission = fixture.admission;
});

describe('ramp', () => {
  // Guards against a limit that grows by more than the factor per interval, and against one that
  // never becomes full: growth takes 6 intervals (ln 8 / ln 1.5 rounded up), the warm value 2 more.
  it('grows by at most the factor per interval and is full after 8 intervals', () => {
    const startMs = fixture.clock.getNow();
    fixture.load(8000, WARM, () => {
      const intervals = Math.floor((fixture.clock.getNow() - startMs) / 1000);
      expect(fixture.getLimit()).toBeLessThanOrEqual(Math.floor(1.5 ** intervals));
    });
    expect(fixture.getLimit()).toBe(8);
    expect(admission.getStatus().rampState).toBe('full');
  });

  // Guards against a ramp by time alone, which overloads a target that warms up slowly.
  it('does not grow while the limit is not reached', () => {
    fixture.load(2000);
    const limit = fixture.getLimit();
    for (let index = 0; index < 100; index += 1) {
      fixture.clock.advance(100);
      admission.tick();
    }
    expect(fixture.getLimit()).toBe(limit);
  });

  // Guards against growth while the target is slow or fails at its current limit.
  it.each([
    ['slow steps', { ...WARM, stepTimeMs: 60 }],
    ['errors', { ...WARM, error: true }],
  ])('does not grow with %s', (_name, sample) => {
    admission.setWarmStepTime(20);
    fixture.load(10_000, sample);
    expect(fixture.getLimit()).toBe(1);
  });

  // Guards against growth while the target already queues requests internally.
  it('does not grow while requests wait inside the target', () => {
    for (let index = 0; index < 50; index += 1) {
      admission.handleEngineStatus({ ...ENGINE, waiting: 3 });
      fixture.load(200);
    }
    expect(fixture.getLimit()).toBe(1);
  });

  // Guards against a wrong factor, and against growth after an interval that did not use the
  // limit, had only short requests finish, or had errors or longer service times.
  it('grows by the factor after a good interval only', () => {
    const insufficient = [
      { hasReachedLimit: false },
      { meanUtilization: 0.4 },
      { isRepresentative: false },
      { errorShare: 0.02 },
      { serviceTimeRatio: 0.5 },
      { serviceTimeRatio: null },
    ];
    for (const change of [{}, ...insufficient]) {
      const ramp = new Ramp({ start: 10, growth: 1.5, intervalMs: 1000 }, 1000);
      ramp.advance({ ...GOOD, ...change });
      expect(ramp.getLimit()).toBe(Object.keys(change).length > 0 ? 10 : 15);
    }
    const ramp = new Ramp({ start: 10, growth: 1.5, intervalMs: 1000 }, 1000);
    ramp.advance(GOOD);
    expect(ramp.advance({ ...GOOD, serviceTimeRatio: 1.4 })).toBe('held');
    expect(ramp.advance({ ...GOOD, serviceTimeRatio: 1.8 })).toBe('shrank');
    expect(ramp.getLimit()).toBe(10);
  });

  // Guards against a full limit that is kept while the target fails or slows down.
  it.each([
    ['errors', { ...WARM, error: true }],
    ['slow steps', { ...WARM, stepTimeMs: 90 }],
  ])('shrinks on %s', (_name, sample) => {
    fixture.load(9000);
    expect(fixture.getLimit()).toBe(8);
    fixture.load(4000, sample);
    expect(fixture.getLimit()).toBeLessThanOrEqual(4);
    expect(admission.getStatus().rampLimit).toBeLessThanOrEqual(4);
  });

  // Guards against a hanging target that keeps its limit because no request finishes and no
  // service time is measured.
  it('shrinks while requests make no progress', () => {
    fixture.load(9000);
    for (let index = 0; index < 8; index += 1) fixture.submit();
    for (let index = 0; index < 40; index += 1) {
      fixture.clock.advance(100);
      admission.tick();
    }
    expect(fixture.getLimit()).toBeLessThanOrEqual(4);
  });

  // Guards against a restarted target that gets the load its warm predecessor could handle.
  it.each([
    ['a new incarnation', () => admission.restartIncarnation('engine restarted')],
    [
      'a changed engine start time',
      () => admission.handleEngineStatus({ ...ENGINE, startedAt: 2 }),
    ],
    ['an emptied cache', () => admission.handleEngineStatus({ ...ENGINE, cacheUsed: 0.01 })],
  ])('restarts on %s', (_name, restart) => {
    admission.handleEngineStatus(ENGINE);
    fixture.load(9000);
    expect(fixture.getLimit()).toBe(8);
    restart();
    expect(fixture.getLimit()).toBe(1);
    expect(admission.getStatus().rampRestarts).toBe(1);
  });

  // Guards against full load on a target that lost its caches without reporting a restart, and
  // against a ramp that restarts after one slow request.
  it('restarts when most recent requests take several times the warm time', () => {
    fixture.load(9000);
    fixture.load(100, { ...WARM, stepTimeMs: 200 });
    const slow = { ...WARM, stepTimeMs: 200 };
    const items = [];
    for (let index = 0; index < 8; index += 1) items.push(fixture.buildItem());
    for (const item of items) fixture.submit(item);
    for (const [index, item] of items.entries()) {
      expect(fixture.getLimit()).toBe(index < 5 ? 8 : 1);
      admission.finish(item, slow);
    }
    expect(admission.getStatus().rampReason).toContain('warm value');
  });

  // Guards against estimates for a cold target from requests that started before its restart.
  it('ignores requests that started before a restart', () => {
    fixture.load(9000);
    admission.setDocument(
      fixture.buildDocument({ ramp: { start: 1, growth: 4, intervalMs: 1000 } }),
    );
    const items = [];
    for (let index = 0; index < 8; index += 1) items.push(fixture.buildItem());
    for (const item of items) fixture.submit(item);
    fixture.clock.advance(10);
    admission.restartIncarnation('engine restarted');
    fixture.clock.advance(1000);
    const deadlineMs = fixture.clock.getNow() + 50;
    expect(fixture.submit(fixture.buildItem({ deadlineMs }))).toBe('queued');
    for (const item of items) admission.finish(item, WARM);
    expect(fixture.getLimit()).toBe(1);
  });

  // Guards against a limit evaluated by requests that ran under the previous one.
  it('ignores the requests in flight at a change of the limit, but no failures', () => {
    const window = new UsageWindow(0);
    window.reset(0, 2);
    const counted = [true, false, false, false].map((error) => window.recordFinish(error));
    expect(counted).toEqual([true, false, false, true]);
  });

  // Guards against a warm value taken from the fastest outlier.
  it('takes the mean of single requests as the warm value', () => {
    const tracker = new ServiceTimeBaseline();
    for (const stepMs of [100, 10]) {
      tracker.closeWindow(tracker.record('step', stepMs), true, false);
    }
    expect(tracker.getWarmMs('step')).toBeCloseTo(55);
  });

  // Guards against a cold engine that is compared with its own cold times and so counts as warm.
  it('compares a restarted engine with its warm predecessor', () => {
    fixture.load(9000);
    admission.restartIncarnation('engine restarted');
    fixture.load(10_000, { ...WARM, stepTimeMs: 75 });
    expect(fixture.getLimit()).toBe(1);
    fixture.load(8000);
    expect(fixture.getLimit()).toBe(8);
  });

  // Guards against a target that never reaches its full limit again after its model became slower.
  it('replaces the warm value after a steady slower step time', () => {
    const tracker = new ServiceTimeBaseline();
    tracker.setWarmMs('step', 20);
    for (let window = 0; window < 40; window += 1) {
      tracker.closeWindow(tracker.record('step', 60), true, false);
    }
    expect(tracker.getWarmMs('step')).toBe(60);
  });

  // Guards against answers that entries discard because the incarnation changed while the request
  // was queued.
  it('refuses queued requests for the old incarnation', () => {
    const incarnation = admission.getIncarnation();
    fixture.submit();
    fixture.submit(fixture.buildItem({ incarnation }));
    const outcome = admission.restartIncarnation('engine restarted');
    expect(outcome.refused.map(({ failure }) => failure.kind)).toEqual(['stale_incarnation']);
    expect(admission.getIncarnation()).toBeGreaterThan(incarnation);
    expect(Incarnation.safeParse(admission.getIncarnation()).success).toBe(true);
  });

  // Guards against full load on all targets of a zone at once when the zone is available again.
  it('restarts when the zone is put back into service', () => {
    fixture.load(9000);
    admission.setDocument(fixture.buildDocument({ zones: { in: ['b'], out: ['a'] } }));
    admission.setDocument(fixture.buildDocument());
    expect(fixture.getLimit()).toBe(1);
  });
});
