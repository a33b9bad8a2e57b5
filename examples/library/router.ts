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
  type RouteRequest,
} from '@limpetbay/core';

const service = ServiceName.parse('canerota');
const clock = new ManualClock();
const router = new Router({
  entry: InstanceId.parse('entry-a-1'),
  zone: Zone.parse('a'),
  clock,
  random: new SeededRandom(1),
});

const zones = ['a', 'b', 'c'].map((name) => Zone.parse(name));
router.updateTargets(
  service,
  zones.map((zone, index) => ({
    id: TargetId.parse(`canerota-${index}`),
    zone,
    group: 'canerota-g0',
    rank: index,
    state: 'live',
  })),
);
router.setZones(service, zones, []);

// Targets send load reports with their answers. The first rank is much busier than the others.
for (const [index, inFlight] of [30, 2, 4].entries()) {
  router.handleLoad({
    target: TargetId.parse(`canerota-${index}`),
    incarnation: Incarnation.parse(1),
    state: 'serving',
    inFlight,
    limit: 32,
    queued: 0,
    queueDelayMs: 0,
    stepTimeMs: 20,
    tokensInFlight: inFlight * 700,
    queuedPromptTokens: 0,
    kvFree: 1,
    configRevision: 1,
  });
}

const cost = { promptTokens: 500, maxTokens: 400, prefixHashes: [] };
const request: RouteRequest = {
  ...cost,
  service,
  workspace: Workspace.parse('estate-1'),
  priority: 'normal',
  deadlineMs: 10_000,
  repeatable: true,
  tried: new Set(),
};

const decision = router.pick(request).unwrap();
router.recordSend(decision, cost);
process.stdout.write(`first attempt: ${decision.target}, ${decision.reason}\n`);

// The agent answers that it is leaving. The request was not run, so another target is tried.
router.recordFinish(decision, 'leaving');
const second = router.pick({ ...request, tried: new Set([decision.target]) }).unwrap();
process.stdout.write(`second attempt: ${second.target}, ${second.reason}\n`);
