import {
  ManualClock,
  RequestId,
  Revision,
  ServiceDocument,
  ServiceName,
  TargetAdmission,
  TargetId,
  Workspace,
  Zone,
  type AdmissionItem,
} from '@limpetbay/core';

const SERVICE_TIME_MS = 100;
const STEP_MS = 10;

const clock = new ManualClock();
const admission = new TargetAdmission({ clock, target: TargetId.parse('bookings-0') });
admission.setZone(Zone.parse('a'));
admission.setConnectivity({ storeConfirmedMs: Infinity, outsideZoneHeardMs: 0, zoneCount: 3 });
admission.setDocument({
  name: ServiceName.parse('bookings'),
  revision: Revision.parse(1),
  operationId: 'example',
  document: ServiceDocument.parse({
    service: { name: 'bookings', kind: 'plain' },
    zones: { in: ['a', 'b', 'c'] },
    targets: { include: ['bookings-*'] },
    ramp: { start: 2, growth: 2, intervalMs: 1000 },
    limits: { maxInFlight: 16, queue: 16 },
    keys: {},
  }),
});

let requestCount = 0;

/** Builds a repeatable request that expires after 5 s. */
function buildItem(): AdmissionItem {
  requestCount += 1;
  return {
    requestId: RequestId.parse(`r${requestCount}`),
    attempt: 1,
    workspace: Workspace.parse('estate-1'),
    priority: 'normal',
    deadlineMs: clock.getNow() + 5000,
    promptTokens: 0,
    maxTokens: 0,
    repeatable: true,
  };
}

const startTimesMs = new Map<AdmissionItem, number>();

/** Dispatches the admitted requests. An agent would call its target here. */
function dispatch(items: readonly AdmissionItem[]): void {
  for (const item of items) startTimesMs.set(item, clock.getNow());
}

/**
 * Submits one request each 10 ms, more than admission allows at first. The target answers each
 * request after 100 ms.
 */
function offerLoad(durationMs: number): void {
  const endMs = clock.getNow() + durationMs;
  while (clock.getNow() < endMs) {
    clock.advance(STEP_MS);
    dispatch(admission.tick().started);
    for (const [item, startedMs] of [...startTimesMs]) {
      if (clock.getNow() - startedMs < SERVICE_TIME_MS) continue;
      startTimesMs.delete(item);
      const sample = { serviceTimeMs: SERVICE_TIME_MS, stepTimeMs: 0, error: false };
      dispatch(admission.finish(item, sample).started);
    }
    const item = buildItem();
    const result = admission.submit(item);
    if (result.type === 'start') dispatch([item]);
    dispatch(result.outcome.started);
  }
}

for (let second = 0; second <= 8; second += 1) {
  const { rampState, rampLimit } = admission.getStatus();
  process.stdout.write(`${second} s: ${rampState}, at most ${rampLimit} in flight\n`);
  offerLoad(1000);
}

// During a planned stop, requests in progress finish and new requests are refused as not run.
admission.setLeaving();
const refused = admission.submit(buildItem());
process.stdout.write(`${refused.type === 'refused' ? refused.failure.kind : refused.type}\n`);
