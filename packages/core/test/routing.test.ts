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

  function pickOne(values: Partial<RouteRequest> = {}): RouteDecision {
    return router.pick(createRequest(values)).unwrap();
  }

  function countPicks(times: number, values: Partial<RouteRequest> = {}): Map<string, number> {
    const counts = new Map<string, number>();
    for (let index = 0; index < times; index += 1) {
      const { target } = pickOne(values);
      counts.set(target, (counts.get(target) ?? 0) + 1);
    }
    return counts;
  }

  function reportAll(values: Partial<LoadReport> = {}): void {
    for (let rank = 0; rank < 6; rank += 1) router.acceptLoad(createReport(`t${rank}`, values));
  }

  describe('places that take no new work', () => {
    // Guards against new work in a zone that operators have taken out.
    it('sends nothing to a zone that is out', () => {
      reportAll();
      router.setZones(service, [zones[0]!, zones[1]!], [zones[2]!]);
      const counts = countPicks(200);
      expect(counts.has('t2') || counts.has('t5')).toBe(false);
      expect(counts.size).toBe(4);
    });

    // Guards against new work at a target that says itself that it takes none, before the document
    // or the instance list say so.
    it.each<AdmissionState>(['leaving', 'isolated', 'not_ready', 'zone_out'])(
      'stops at once after a report of %s',
      (state) => {
        reportAll();
        pickOne();
        router.acceptLoad(createReport('t0', { state }));
        expect(countPicks(200).has('t0')).toBe(false);
      },
    );
  });
});
