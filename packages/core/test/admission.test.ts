import fc from 'fast-check';
import { beforeEach, describe, expect, it } from 'vitest';
import { Incarnation, Priority, RequestId, TargetAdmission, TargetId } from '@limpetbay/core';
import type { AdmissionItem, AdmissionOutcome } from '@limpetbay/core';
import { AdmissionFixture, WARM } from './admissionFixture.js';

const ZONE_OUT = { zones: { in: ['b'], out: ['a'] } };

interface TestEvent {
  readonly type: string;
  readonly pick: number;
  readonly priority: Priority;
  readonly waitMs: number;
  readonly error: boolean;
}

let fixture: AdmissionFixture;
let admission: TargetAdmission;

beforeEach(() => {
  fixture = new AdmissionFixture();
  admission = fixture.admission;
});

function listRefused(outcome: AdmissionOutcome): [AdmissionItem, string][] {
  return outcome.refused.map(({ item, failure }) => [item, failure.kind]);
}

describe('TargetAdmission', () => {
  // Guards against a cold target that exceeds its initial limit.
  it('starts one request on a cold target and queues the next', () => {
    expect(fixture.submit()).toBe('start');
    expect(fixture.submit()).toBe('queued');
    expect(admission.getLoad()).toMatchObject({ inFlight: 1, limit: 1, queued: 1 });
  });

  // Guards against a later check that hides an earlier one: an entry that receives the wrong reason
  // keeps sending.
  it('refuses in the order of the design page', () => {
    const late = fixture.buildItem({ deadlineMs: fixture.clock.getNow() });
    expect(fixture.submit(late)).toBe('deadline_exceeded');
    const stale = (): AdmissionItem =>
      fixture.buildItem({ deadlineMs: 0, incarnation: Incarnation.parse(1) });
    expect(fixture.submit(stale())).toBe('stale_incarnation');
    admission.setLeaving();
    expect(fixture.submit(stale())).toBe('leaving');
    const excluded = { targets: { include: ['canerota-*'], exclude: ['canerota-1'] } };
    admission.setDocument(fixture.buildDocument({ ...excluded, ...ZONE_OUT }));
    expect(fixture.submit(stale())).toBe('zone_out');
    fixture.connect(0, 0);
    expect(fixture.submit(stale())).toBe('isolated');
    admission.setDocument(null);
    expect(fixture.submit(stale())).toBe('not_ready');
  });

  // Guards against requests that are accepted or dispatched in a zone that is out, and against
  // aborting requests in progress when a zone goes out.
  it('refuses new and queued requests when the zone goes out and keeps those in progress', () => {
    const running = fixture.buildItem();
    const queued = fixture.buildItem();
    fixture.submit(running);
    fixture.submit(queued);
    const outcome = admission.setDocument(fixture.buildDocument(ZONE_OUT));
    expect(listRefused(outcome)).toEqual([[queued, 'zone_out']]);
    expect(fixture.submit()).toBe('zone_out');
    expect(admission.getLoad()).toMatchObject({ state: 'zone_out', inFlight: 1, queued: 0 });
    expect(admission.finish(running, WARM).started).toEqual([]);
    expect(admission.getStatus().finished).toBe(1);
  });

  // Guards against dispatching queued requests to a target that is leaving, for any cause.
  it.each([
    ['a signal', null],
    ['a missing name', { include: ['canerota-2', 'other-*'] }],
    ['an exclusion', { include: ['canerota-*'], exclude: ['canerota-1'] }],
  ])('refuses queued requests when the target leaves by %s', (_name, targets) => {
    fixture.submit();
    const queued = fixture.buildItem();
    fixture.submit(queued);
    const outcome =
      targets === null
        ? admission.setLeaving()
        : admission.setDocument(fixture.buildDocument({ targets }));
    expect(listRefused(outcome)).toEqual([[queued, 'leaving']]);
    expect(admission.getLoad()).toMatchObject({ state: 'leaving', inFlight: 1 });
  });

  // Guards against a delayed document that puts a zone back in service after it was taken out.
  it('ignores an older document', () => {
    const old = fixture.buildDocument();
    admission.setDocument(fixture.buildDocument(ZONE_OUT));
    admission.setDocument(old);
    expect(fixture.submit()).toBe('zone_out');
  });

  // Guards against a partitioned zone that keeps serving after operators took it out, and against
  // refusing requests when only the store is down.
  it('refuses requests after 3 s without contact to the store or another zone', () => {
    const nowMs = fixture.clock.getNow();
    fixture.connect(0, nowMs);
    fixture.submit();
    const queued = fixture.buildItem();
    fixture.submit(queued);
    fixture.clock.advance(2999);
    expect(admission.tick().refused).toEqual([]);
    fixture.clock.advance(1);
    expect(listRefused(admission.tick())).toEqual([[queued, 'isolated']]);
    fixture.connect(nowMs + 3000, 0);
    expect(admission.getLoad().state).toBe('serving');
    fixture.connect(0, 0, 1);
    expect(admission.getLoad().state).toBe('serving');
    fixture.connect(0, 0);
    const service = { name: 'canerota', kind: 'model', isolation: 'serve' };
    admission.setDocument(fixture.buildDocument({ service }));
    expect(admission.getStatus()).toMatchObject({ state: 'serving', isolated: true });
  });

  // Guards against an agent that serves before the state of its connections is known.
  it('counts as isolated before its connectivity is known', () => {
    const target = TargetId.parse('canerota-1');
    const fresh = new TargetAdmission({ clock: fixture.clock, target });
    fresh.setZone(fixture.buildDocument().document?.zones.in[0] as never);
    fresh.setDocument(fixture.buildDocument());
    expect(fresh.getLoad().state).toBe('isolated');
  });

  // Guards against running a delivered attempt twice, and against a refusal, which declares "not
  // run", of an attempt that is running, in any state of the target.
  it('detects an attempt that was delivered before, in every state', () => {
    const running = fixture.buildItem();
    const queued = fixture.buildItem();
    fixture.submit(running);
    fixture.submit(queued);
    expect(fixture.submit(running)).toBe('duplicate');
    expect(fixture.submit(queued)).toBe('duplicate');
    // A new attempt is not a duplicate; it is refused because the queue of a cold target holds one.
    expect(fixture.submit({ ...running, attempt: 2 })).toBe('target_cold');
    admission.setDocument(fixture.buildDocument(ZONE_OUT));
    expect(fixture.submit(running)).toBe('duplicate');
    const refused = fixture.buildItem();
    expect(fixture.submit(refused)).toBe('zone_out');
    admission.finish(running, WARM);
    admission.setDocument(fixture.buildDocument());
    // Each of them has run or was declared not run, so none may run now.
    expect(fixture.submit(refused)).toBe('duplicate');
    expect(fixture.submit(queued)).toBe('duplicate');
    expect(fixture.submit(running)).toBe('duplicate');
  });

  // Guards against evicting an attempt while a closed connection may still deliver it, and against
  // a cache that grows without bound.
  it('retains an attempt until it can no longer be delivered', () => {
    const item = fixture.buildItem();
    fixture.submit(item);
    admission.finish(item, WARM);
    fixture.clock.advance(30_000 + 925_000);
    admission.tick();
    const again = { ...item, deadlineMs: fixture.clock.getNow() + 30_000 };
    expect(fixture.submit(again)).toBe('duplicate');
    fixture.clock.advance(60_000);
    admission.tick();
    expect(admission.getStatus().cachedAttempts).toBe(0);
  });

  // Guards against evicting old attempts to free space, which would let them run twice.
  it('refuses non-repeatable attempts when the attempt cache is full', () => {
    fixture = new AdmissionFixture({ attemptCapacity: 2 });
    for (let index = 0; index < 2; index += 1) {
      const item = fixture.buildItem();
      fixture.submit(item);
      fixture.admission.finish(item, WARM);
    }
    fixture.clock.advance(100_000);
    const refused = fixture.buildItem();
    expect(fixture.submit(refused)).toBe('overloaded');
    expect(fixture.submit(fixture.buildItem({ repeatable: true }))).toBe('start');
    // The full cache could not retain the refused attempt, so it must not run while it may still be
    // delivered, although the cache has space again by then.
    fixture.clock.advance(930_000);
    fixture.admission.tick();
    expect(fixture.admission.getStatus().cachedAttempts).toBe(0);
    const again = { ...refused, deadlineMs: fixture.clock.getNow() + 30_000 };
    expect(fixture.submit(again)).toBe('overloaded');
    fixture.clock.advance(61_000);
    fixture.admission.tick();
    expect(fixture.submit()).not.toBe('overloaded');
  });

  // Guards against running a request whose caller no longer waits.
  it('refuses a queued request once it can no longer meet its deadline', () => {
    fixture.load(5000);
    const free = fixture.getLimit() - admission.getLoad().inFlight;
    for (let index = 0; index < free; index += 1) expect(fixture.submit()).toBe('start');
    const queued = fixture.buildItem({ deadlineMs: fixture.clock.getNow() + 300 });
    expect(fixture.submit(queued)).toBe('queued');
    fixture.clock.advance(150);
    expect(admission.tick().refused).toEqual([]);
    fixture.clock.advance(60);
    expect(listRefused(admission.tick())).toEqual([[queued, 'deadline_exceeded']]);
  });

  // Guards against queuing requests that would only be refused later.
  it('refuses at once a request that cannot meet its deadline behind the queue', () => {
    fixture.load(9000);
    for (let index = 0; index < 12; index += 1) {
      fixture.submit(fixture.buildItem({ priority: 'high' }));
    }
    expect(admission.getLoad()).toMatchObject({ inFlight: 8, queued: 4 });
    const deadlineMs = fixture.clock.getNow() + 140;
    expect(fixture.submit(fixture.buildItem({ deadlineMs }))).toBe('overloaded');
    expect(fixture.submit(fixture.buildItem({ deadlineMs: deadlineMs + 100 }))).toBe('queued');
  });

  // Guards against a target that refuses everything forever after its requests took longer than
  // callers wait: only new samples correct the estimate.
  it('starts a request when idle although the estimate exceeds its deadline', () => {
    const item = fixture.buildItem();
    fixture.submit(item);
    admission.finish(item, { ...WARM, serviceTimeMs: 60_000 });
    expect(fixture.submit()).toBe('start');
    expect(fixture.submit()).toBe('deadline_exceeded');
  });

  /** Ramps the target up, then finishes requests for one token whose first token takes 400 ms. */
  function loadShortRequests(stepTimeMs: number): void {
    fixture.load(9000, { serviceTimeMs: 400, stepTimeMs, error: false });
    for (let index = 0; index < 30; index += 1) {
      const item = fixture.buildItem({ promptTokens: 10, maxTokens: 1 });
      expect(fixture.submit(item)).toBe('start');
      admission.finish(item, { serviceTimeMs: 400, stepTimeMs: 0, error: false });
    }
  }

  // Guards against refusing a long request that would finish in time because short requests, which
  // spend most of their time before the first token, took long per token.
  it('estimates a long request of a new class by the step time, not by short requests', () => {
    loadShortRequests(20);
    expect(fixture.submit()).toBe('start');
    expect(fixture.submit(fixture.buildItem({ maxTokens: 1500 }))).toBe('deadline_exceeded');
    expect(fixture.submit(fixture.buildItem({ maxTokens: 1400 }))).toBe('start');
  });

  // Guards against a target without step times that refuses every long request, although only a
  // finished one would correct its estimate.
  it('starts a long request of a new class when no step time is known', () => {
    loadShortRequests(0);
    expect(fixture.submit()).toBe('start');
    expect(fixture.submit(fixture.buildItem({ maxTokens: 1400 }))).toBe('start');
  });

  // Guards against leaking the slot of a cancelled request, and against starting a cancelled one.
  it('frees the slot of a cancelled request and never starts a cancelled one', () => {
    const running = fixture.buildItem();
    const queued = fixture.buildItem();
    fixture.submit(running);
    fixture.submit(queued);
    admission.cancel(queued);
    expect(admission.cancel(running).started).toEqual([]);
    expect(admission.getLoad()).toMatchObject({ inFlight: 0, queued: 0, queuedPromptTokens: 0 });
    expect(fixture.submit(queued)).toBe('duplicate');
  });

  // Guards, over random sequences of events, against more requests in flight than the limit, items
  // answered twice or never, refused items that start, and starts while the zone is out.
  it('answers every item once and grants no more than its limit', () => {
    const event = fc.record({
      type: fc.constantFrom('submit', 'finish', 'cancel', 'advance', 'out', 'in', 'restart'),
      pick: fc.nat(20),
      priority: fc.constantFrom(...Priority.options),
      waitMs: fc.integer({ min: 1, max: 800 }),
      error: fc.boolean(),
    });
    const check = (events: readonly TestEvent[]): void => {
      fixture = new AdmissionFixture();
      admission = fixture.admission;
      const waiting = new Map<string, AdmissionItem>();
      const running = new Map<string, AdmissionItem>();
      const ended = new Set<string>();
      const start = (item: AdmissionItem): void => {
        expect(ended.has(item.requestId)).toBe(false);
        expect(admission.getLoad().state).toBe('serving');
        running.set(item.requestId, item);
      };
      const apply = (outcome: AdmissionOutcome): void => {
        for (const { item } of outcome.refused) {
          expect(waiting.delete(item.requestId)).toBe(true);
          ended.add(item.requestId);
        }
        for (const item of outcome.started) {
          expect(waiting.delete(item.requestId)).toBe(true);
          start(item);
        }
      };
      for (const { type, pick, priority, waitMs, error } of events) {
        const before = admission.getLoad();
        if (type === 'submit') {
          const deadlineMs = fixture.clock.getNow() + waitMs * 3;
          const item = fixture.buildItem({
            priority,
            deadlineMs,
            requestId: RequestId.parse(`q${pick}-${ended.size}-${running.size}`),
          });
          const result = admission.submit(item);
          apply(result.outcome);
          if (result.type === 'queued') waiting.set(item.requestId, item);
          else if (result.type === 'start') start(item);
          else if (result.type === 'refused') ended.add(item.requestId);
        } else if (type === 'finish') {
          const [item] = [...running.values()].slice(pick % Math.max(1, running.size));
          if (item === undefined) continue;
          running.delete(item.requestId);
          ended.add(item.requestId);
          apply(admission.finish(item, { ...WARM, serviceTimeMs: waitMs, error }));
        } else if (type === 'cancel') {
          const [item] = [...waiting.values()];
          if (item === undefined) continue;
          waiting.delete(item.requestId);
          ended.add(item.requestId);
          apply(admission.cancel(item));
        } else if (type === 'advance') {
          fixture.clock.advance(waitMs);
          apply(admission.tick());
        } else if (type === 'restart') apply(admission.restartIncarnation('test'));
        else apply(admission.setDocument(fixture.buildDocument(type === 'out' ? ZONE_OUT : {})));
        const load = admission.getLoad();
        expect(load.inFlight).toBe(running.size);
        expect(load.queued).toBe(waiting.size);
        expect(load.inFlight).toBeLessThanOrEqual(Math.max(load.limit, before.inFlight));
      }
    };
    fc.assert(fc.property(fc.array(event, { maxLength: 120 }), check), { seed: 1, numRuns: 300 });
  });
});
