import {
  Incarnation,
  InstanceId,
  Router,
  SeededRandom,
  ServiceName,
  TargetId,
  Zone,
  type LoadReport,
  type ManualClock,
  type RouteTarget,
} from '@limpetbay/core';
import { designSize } from './designSize.js';

interface RouteFixture {
  readonly router: Router;
  readonly service: ServiceName;
  readonly targets: readonly RouteTarget[];
  readonly reports: readonly LoadReport[];
}

const SEED = 31;
const ENTRIES = 8;

/** Creates a router with that many targets in groups of the design size, and a report of each. */
export function createRouteFixture(clock: ManualClock, count: number): RouteFixture {
  const random = new SeededRandom(SEED);
  const service = ServiceName.parse('canerota');
  const entries: InstanceId[] = [];
  for (let entry = 0; entry < ENTRIES; entry += 1) entries.push(InstanceId.parse(`entry-${entry}`));
  const targets: RouteTarget[] = [];
  const reports: LoadReport[] = [];
  for (let index = 0; index < count; index += 1) {
    const id = TargetId.parse(`canerota-${index}`);
    targets.push({
      id,
      zone: Zone.parse(`z${index % designSize.zones}`),
      group: `g${Math.floor(index / designSize.ranks)}`,
      rank: index % designSize.ranks,
      state: 'live',
    });
    reports.push({
      target: id,
      incarnation: Incarnation.parse(1_767_225_600_000_000 + index),
      state: 'serving',
      inFlight: Math.floor(30 * random.next()),
      limit: 64,
      queued: 0,
      queueDelayMs: 0,
      stepTimeMs: 45.5,
      tokensInFlight: Math.floor(40_000 * random.next()),
      queuedPromptTokens: 0,
      kvFree: 0.5,
      configRevision: 3500,
    });
  }
  const router = new Router({ entry: entries[0]!, zone: null, clock, random });
  router.setEntries(entries);
  router.updateTargets(service, targets);
  for (const report of reports) router.handleLoad(report);
  return { router, service, targets, reports };
}
