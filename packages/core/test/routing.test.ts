import { beforeEach, describe, expect, it } from 'vitest';
import type {
  AdmissionState,
  LoadReport,
  RouteDecision,
  RouteRequest,
  RouteTarget,
} from '@limpetbay/core';
import {
  Incarnation,
  InstanceId,
  ManualClock,
  Router,
  SeededRandom,
  ServiceName,
  TargetId,
  Workspace,
  Zone,
} from '@limpetbay/core';

const service = ServiceName.parse('canerota');
const zones = ['a', 'b', 'c'].map((zone) => Zone.parse(zone));

function createTargets(count: number, group: string | null): RouteTarget[] {
  const targets: RouteTarget[] = [];
  for (let rank = 0; rank < count; rank += 1) {
    const zone = zones[rank % zones.length] ?? Zone.parse('a');
    const id = TargetId.parse(`t${rank}`);
    targets.push({ id, zone, group, rank: group === null ? null : rank, state: 'live' });
  }
  return targets;
}

function createReport(id: string, values: Partial<LoadReport> = {}): LoadReport {
  return {
    target: TargetId.parse(id),
    incarnation: Incarnation.parse(1),
    state: 'serving',
    inFlight: 10,
    limit: 64,
    queued: 0,
    queueDelayMs: 0,
    stepTimeMs: 30,
    tokensInFlight: 10_000,
    queuedPromptTokens: 0,
    kvFree: 0.5,
    configRevision: 1,
    ...values,
  };
}

function createRequest(values: Partial<RouteRequest> = {}): RouteRequest {
  return {
    service,
    workspace: Workspace.parse('estate-1'),
    priority: 'normal',
    promptTokens: 500,
    maxTokens: 400,
    deadlineMs: 30_000,
    repeatable: true,
    tried: new Set(),
    ...values,
  };
}

describe('Router', () => {
  let clock: ManualClock;
  let router: Router;

  beforeEach(() => {
    clock = new ManualClock(100_000);
    router = new Router({
      entry: InstanceId.parse('entry-1'),
      zone: null,
      clock,
      random: new SeededRandom(7),
    });
    router.updateTargets(service, createTargets(6, 'g0'));
  });

  function pickTarget(values: Partial<RouteRequest> = {}): RouteDecision {
    return router.pick(createRequest(values)).unwrap();
  }

  function countPicks(times: number, values: Partial<RouteRequest> = {}): Map<string, number> {
    const counts = new Map<string, number>();
    for (let index = 0; index < times; index += 1) {
      const { target } = pickTarget(values);
      counts.set(target, (counts.get(target) ?? 0) + 1);
    }
    return counts;
  }

  function reportAll(values: Partial<LoadReport> = {}): void {
    for (let rank = 0; rank < 6; rank += 1) router.handleLoad(createReport(`t${rank}`, values));
  }

  describe('targets and zones that take no new work', () => {
    // Guards against new work for a zone that operators have listed as out.
    it('sends nothing to a zone that is out', () => {
      reportAll();
      router.setZones(service, [zones[0]!, zones[1]!], [zones[2]!]);
      const counts = countPicks(200);
      expect(counts.has('t2') || counts.has('t5')).toBe(false);
      expect(counts.size).toBe(4);
    });

    // Guards against new work for a target whose own report excludes it before the document or the
    // instance list does.
    it.each<AdmissionState>(['leaving', 'isolated', 'not_ready', 'zone_out'])(
      'sends nothing after a report of %s',
      (state) => {
        reportAll();
        pickTarget();
        router.handleLoad(createReport('t0', { state }));
        expect(countPicks(200).has('t0')).toBe(false);
      },
    );
  });

  describe('targets and zones that become available again', () => {
    // Guards against a target that stays unused because it gets no work and so sends no report, and
    // against many requests probing it at the same time.
    it('probes an excluded target with a single request', () => {
      reportAll();
      router.handleLoad(createReport('t0', { state: 'not_ready' }));
      let probed = 0;
      for (let index = 0; index < 150; index += 1) {
        clock.advance(30);
        if (pickTarget().target === 't0') probed += 1;
      }
      expect(probed).toBe(1);
    });

    // Guards against full load on cold targets when a zone is in again.
    it('sends little to a zone that is in again', () => {
      reportAll();
      router.setZones(service, [], [zones[0]!]);
      router.setZones(service, [], []);
      const counts = countPicks(200);
      expect((counts.get('t0') ?? 0) + (counts.get('t3') ?? 0)).toBeLessThan(20);
    });
  });

  describe('lagging load', () => {
    // Guards against a thundering herd on one target whose old report shows it as idle.
    it('spreads requests although one stale report shows an idle target', () => {
      reportAll();
      router.handleLoad(createReport('t0', { inFlight: 0, tokensInFlight: 0 }));
      let toIdle = 0;
      for (let index = 0; index < 60; index += 1) {
        const decision = pickTarget();
        router.recordSend(decision, createRequest());
        if (decision.target === 't0') toIdle += 1;
      }
      expect(toIdle).toBeGreaterThan(5);
      expect(toIdle).toBeLessThan(30);
    });

    // Guards against a target that stays unused because of an old report of a high load.
    it('gives a reported high load less weight with time', () => {
      reportAll();
      router.handleLoad(createReport('t0', { inFlight: 60, tokensInFlight: 60_000 }));
      expect(countPicks(200).get('t0') ?? 0).toBeLessThan(5);
      clock.advance(15_000);
      let toLoaded = 0;
      for (let index = 0; index < 60; index += 1) {
        const decision = pickTarget();
        router.recordSend(decision, createRequest());
        if (decision.target === 't0') toLoaded += 1;
      }
      expect(toLoaded).toBeGreaterThan(4);
    });

    // Guards against a late report of an earlier incarnation replacing the current one.
    it('drops reports of an older incarnation', () => {
      reportAll({ incarnation: Incarnation.parse(2) });
      router.handleLoad(createReport('t0', { state: 'leaving' }));
      expect(countPicks(200).has('t0')).toBe(true);
      expect(pickTarget().incarnation).toBe(2);
    });

    // Guards against a ramping target receiving as much load as a warm one.
    it('sends little to an idle target with a low limit', () => {
      reportAll();
      router.handleLoad(createReport('t0', { limit: 8, inFlight: 0, tokensInFlight: 0 }));
      expect(countPicks(600).get('t0') ?? 0).toBeLessThan(150);
    });

    // Guards against a full target at the start of its ramp looking idle beside loaded warm ones.
    it('sends nothing to a ramping target that is full', () => {
      reportAll();
      router.handleLoad(
        createReport('t0', { limit: 4, inFlight: 4, tokensInFlight: 4000, kvFree: 0.9 }),
      );
      expect(countPicks(200).get('t0') ?? 0).toBeLessThan(2);
    });

    // Guards against a ramping target that stays unused because the low limit and the full memory
    // of
    // its last report are never updated.
    it('expects a low limit to grow since its report', () => {
      reportAll();
      router.handleLoad(createReport('t0', { limit: 1, inFlight: 1, tokensInFlight: 1000 }));
      clock.advance(12_000);
      for (let rank = 1; rank < 6; rank += 1) router.handleLoad(createReport(`t${rank}`));
      expect(countPicks(200).get('t0') ?? 0).toBeGreaterThan(10);
    });

    // Guards against a group with one overloaded rank attracting load to its other ranks.
    it('does not prefer the lightly loaded ranks of a group with an overloaded rank', () => {
      const pairs = createTargets(6, 'g0').map((target, index) => ({
        ...target,
        group: index < 3 ? 'g0' : 'g1',
      }));
      router.updateTargets(service, pairs);
      reportAll();
      router.handleLoad(createReport('t0', { tokensInFlight: 60_000 }));
      let toFirst = 0;
      for (const [target, count] of countPicks(300)) {
        if (target === 't1' || target === 't2') toFirst += count;
      }
      expect(toFirst).toBeLessThan(160);
    });
  });

  describe('early refusal', () => {
    // Guards against sending a request that would wait in any queue past its deadline.
    it('refuses a request that no queue can start in time, depending on its priority', () => {
      reportAll({ queueDelayMs: 5000 });
      const refused = router.pick(createRequest({ deadlineMs: 2000 }));
      expect(refused.err && refused.val.kind).toBe('overloaded');
      expect(router.pick(createRequest({ deadlineMs: 2000, priority: 'high' })).ok).toBe(true);
    });

    // Guards against an entry that refuses every request and so never gets reports of empty queues.
    it('sends again once the reports are old', () => {
      reportAll({ queueDelayMs: 5000 });
      clock.advance(10_000);
      expect(router.pick(createRequest({ deadlineMs: 2000 })).ok).toBe(true);
    });

    it('returns an error kind for each reason why no target can be picked', () => {
      const late = router.pick(createRequest({ deadlineMs: 0 }));
      expect(late.err && late.val.kind).toBe('deadline_exceeded');
      router.setZones(service, [], zones);
      const none = router.pick(createRequest());
      expect(none.err && none.val.kind).toBe('no_target');
      const unknown = router.pick(createRequest({ service: ServiceName.parse('other') }));
      expect(unknown.err && unknown.val.kind).toBe('unknown_service');
    });
  });

  describe('prefix hints', () => {
    const prefixHashes = ['h1', 'h2'];

    function countPrefixHits(): number {
      return countPicks(100, { prefixHashes }).get('t3') ?? 0;
    }

    function sendEvent(sequence: number, added: string[], removed: string[] = []): void {
      const incarnation = Incarnation.parse(1);
      router.handleCacheEvent({
        target: TargetId.parse('t3'),
        incarnation,
        sequence,
        added,
        removed,
      });
    }

    // Guards against missed cache hits, and against using hints from before a gap, which may be
    // wrong.
    it('prefers a target with a cached prefix and clears the hints after a gap', () => {
      reportAll();
      sendEvent(1, prefixHashes);
      expect(countPrefixHits()).toBeGreaterThan(80);
      sendEvent(3, ['h9']);
      expect(countPrefixHits()).toBeLessThan(50);
    });

    // Guards against unbounded memory use, as every prompt adds hashes.
    it('evicts the oldest prefix above the limit', () => {
      reportAll();
      sendEvent(1, prefixHashes);
      sendEvent(
        2,
        Array.from({ length: 4096 }, (_, index) => `other-${index}`),
      );
      expect(countPrefixHits()).toBeLessThan(50);
    });

    // Guards against using hints after a restart, which empties the cache.
    it('clears the hints of an older incarnation', () => {
      reportAll();
      sendEvent(1, prefixHashes);
      router.handleLoad(createReport('t3', { incarnation: Incarnation.parse(0) }));
      expect(countPrefixHits()).toBeGreaterThan(80);
      router.handleLoad(createReport('t3', { incarnation: Incarnation.parse(2) }));
      expect(countPrefixHits()).toBeLessThan(50);
    });

    // Guards against prefix affinity overloading the rank that has a popular prefix.
    it('ignores the cached prefix beyond the allowed skew', () => {
      reportAll();
      sendEvent(1, prefixHashes);
      router.handleLoad(createReport('t3', { tokensInFlight: 12_000 }));
      const counts = countPicks(100, { prefixHashes, promptTokens: 4000 });
      expect(counts.get('t3') ?? 0).toBeLessThan(80);
    });
  });

  describe('failures', () => {
    function failTarget(id: string): void {
      for (let count = 0; count < 2; count += 1) {
        router.recordFailure(TargetId.parse(id), 'answer_incomplete');
      }
    }

    function countProbes(times: number, values: Partial<RouteRequest> = {}): number {
      let probes = 0;
      for (let index = 0; index < times; index += 1) {
        clock.advance(25);
        const decision = pickTarget(values);
        if (decision.probe) {
          router.recordSend(decision, createRequest());
          probes += 1;
        }
      }
      return probes;
    }

    // Guards against a failed target that keeps getting work, or is probed by many requests at
    // once.
    it('opens after failures, probes one at a time and recovers slowly', () => {
      reportAll();
      failTarget('t0');
      expect(countPicks(100).has('t0')).toBe(false);
      clock.advance(1100);
      let probe: RouteDecision | undefined;
      for (let index = 0; index < 50 && probe === undefined; index += 1) {
        clock.advance(25);
        const decision = pickTarget();
        if (decision.probe) probe = decision;
      }
      expect(probe?.target).toBe('t0');
      router.recordSend(probe!, createRequest());
      expect(countProbes(50)).toBe(0);
      router.recordFinish(probe!, 'complete');
      expect(countPicks(200).get('t0') ?? 0).toBeLessThan(15);
      clock.advance(6000);
      expect(countPicks(400).get('t0') ?? 0).toBeGreaterThan(20);
    });

    // Guards against losing a request that may not be repeated by probing a failed target with it.
    it('uses only repeatable requests as probes', () => {
      reportAll();
      failTarget('t0');
      clock.advance(2000);
      expect(countProbes(20, { repeatable: false })).toBe(0);
      expect(countProbes(20)).toBe(1);
    });

    // Guards against a recovered target that stays unused in a service without repeatable requests.
    it('probes with any request if none was repeatable for a long time', () => {
      reportAll();
      failTarget('t0');
      clock.advance(12_000);
      expect(countProbes(20, { repeatable: false })).toBe(1);
    });

    // Guards against concentrating the load on a few targets after other entries have left.
    it('treats targets that are new in the subset as warm', () => {
      const entries = Array.from({ length: 20 }, (_, index) => InstanceId.parse(`entry-${index}`));
      router.setEntries(entries);
      router.updateTargets(service, createTargets(300, null));
      for (let rank = 0; rank < 300; rank += 1) router.handleLoad(createReport(`t${rank}`));
      const before = router.getStatus()[0]!.subset;
      router.setEntries(entries.slice(0, 4));
      expect(router.getStatus()[0]!.subset).toBeGreaterThan(3 * before);
      expect(countPicks(400).size).toBeGreaterThan(2 * before);
    });

    // Guards against sending to the other targets of a failed zone until each of them has failed
    // too.
    it('avoids the whole zone when most of its active targets fail', () => {
      router.updateTargets(service, createTargets(12, 'g0'));
      for (let rank = 0; rank < 12; rank += 1) router.handleLoad(createReport(`t${rank}`));
      router.recordSend(
        { ...pickTarget(), target: TargetId.parse('t0'), zone: zones[0]! },
        createRequest(),
      );
      failTarget('t2');
      failTarget('t5');
      const counts = countPicks(300);
      expect(counts.has('t8') || counts.has('t11')).toBe(false);
      expect(router.getStatus()).toMatchObject([{ subset: 12, usable: 8, openZones: ['c'] }]);
      // The zone may have restarted cold: one answer must not restore its full share at once.
      const answered = { ...pickTarget(), target: TargetId.parse('t8'), zone: zones[2]! };
      router.recordSend(answered, createRequest());
      router.recordFinish(answered, 'complete');
      clock.advance(4500);
      for (const rank of [0, 1, 3, 4, 6, 7, 9, 10]) router.handleLoad(createReport(`t${rank}`));
      expect(countPicks(400).get('t11') ?? 0).toBeLessThan(25);
    });

    // Guards against treating a refusal by a working agent as the recovery of its failed engine.
    it('keeps the breaker of an engine open when the probe is refused', () => {
      reportAll();
      for (let count = 0; count < 2; count += 1) {
        router.recordFailure(TargetId.parse('t0'), 'target_error');
      }
      clock.advance(1100);
      const probe = pickTarget();
      expect(probe.probe).toBe(true);
      router.recordSend(probe, createRequest());
      router.recordFinish(probe, 'overloaded');
      clock.advance(6000);
      expect(countPicks(300, { repeatable: false }).has('t0')).toBe(false);
    });

    // Guards against an entry that excludes all zones because its own network fails.
    it('keeps sending when every zone seems to have failed', () => {
      reportAll();
      for (let rank = 0; rank < 6; rank += 1) {
        const id = TargetId.parse(`t${rank}`);
        router.recordSend({ ...pickTarget(), target: id }, createRequest());
        router.recordFrame(id);
      }
      clock.advance(2500);
      expect(router.pick(createRequest()).ok).toBe(true);
      for (let rank = 0; rank < 6; rank += 1) router.recordFrame(TargetId.parse(`t${rank}`));
      clock.advance(60);
      expect(pickTarget().reason).toBe('lowest score');
    });

    // Guards against new work for a stalled target before its attempts time out.
    it('avoids a target that misses a progress frame', () => {
      reportAll();
      const id = TargetId.parse('t0');
      const tried = new Set(['t1', 't2', 't3', 't4', 't5'].map((other) => TargetId.parse(other)));
      router.recordSend({ ...pickTarget(), target: id }, createRequest());
      router.recordFrame(id);
      clock.advance(1400);
      router.recordSend({ ...pickTarget(), target: id }, createRequest());
      expect(pickTarget({ tried }).reason).toBe('lowest score');
      clock.advance(200);
      expect(pickTarget({ tried }).reason).toBe('no better target is left');
      router.recordFrame(id);
      clock.advance(60);
      expect(pickTarget({ tried }).reason).toBe('lowest score');
    });

    // Guards against a retry at the target that has just failed.
    it('never picks a tried target', () => {
      const tried = new Set(['t0', 't1', 't2', 't3', 't4'].map((id) => TargetId.parse(id)));
      expect([...countPicks(50, { tried }).keys()]).toEqual(['t5']);
      tried.add(TargetId.parse('t5'));
      expect(router.pick(createRequest({ tried })).err).toBe(true);
    });
  });
});
