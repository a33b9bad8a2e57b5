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

let count = 0;

function buildItem(): AdmissionItem {
  count += 1;
  return {
    requestId: RequestId.parse(`r${count}`),
    attempt: 1,
    workspace: Workspace.parse('estate-1'),
    priority: 'normal',
    deadlineMs: clock.getNow() + 5000,
    promptTokens: 0,
    maxTokens: 0,
    repeatable: true,
  };
}

const running = new Map<AdmissionItem, number>();

/** Hands over what admission started; a real agent calls its target here. */
function start(items: readonly AdmissionItem[]): void {
  for (const item of items) running.set(item, clock.getNow());
}

/** Offers more than the target may take for some time, all answered after the same time. */
function offer(durationMs: number): void {
  const endMs = clock.getNow() + durationMs;
  while (clock.getNow() < endMs) {
    clock.advance(STEP_MS);
    start(admission.tick().started);
    for (const [item, startedMs] of [...running]) {
      if (clock.getNow() - startedMs < SERVICE_TIME_MS) continue;
      running.delete(item);
      const sample = { serviceTimeMs: SERVICE_TIME_MS, stepTimeMs: 0, error: false };
      start(admission.finish(item, sample).started);
    }
    const item = buildItem();
    const result = admission.submit(item);
    if (result.type === 'start') start([item]);
    start(result.outcome.started);
  }
}

for (let second = 0; second <= 8; second += 1) {
  const { rampState, rampLimit } = admission.getStatus();
  process.stdout.write(`${second} s: ${rampState}, at most ${rampLimit} in flight\n`);
  offer(1000);
}

// A planned stop: what is in progress finishes, new work is refused as not run.
admission.setLeaving();
const refused = admission.submit(buildItem());
process.stdout.write(`${refused.type === 'refused' ? refused.failure.kind : refused.type}\n`);
