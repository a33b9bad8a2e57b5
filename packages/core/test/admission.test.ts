import { beforeEach, describe, expect, it } from 'vitest';
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
} from '@limpetbay/core';
import type { AdmissionItem, VersionedDocument } from '@limpetbay/core';

const WARM = { serviceTimeMs: 100, stepTimeMs: 20, error: false };

let clock: ManualClock;
let admission: TargetAdmission;
let revision: number;
let sequence: number;

function buildDocument(change: object = {}): VersionedDocument {
  revision += 1;
  return {
    name: ServiceName.parse('canerota'),
    revision: Revision.parse(revision),
    operationId: 'op',
    document: ServiceDocument.parse({
      service: { name: 'canerota', kind: 'model' },
      zones: { in: ['a', 'b'] },
      targets: { include: ['canerota-*'], exclude: ['canerota-9'] },
      ramp: { start: 1, growth: 1.5, intervalMs: 1000 },
      limits: { maxInFlight: 8, queue: 8 },
      keys: {},
      ...change,
    }),
  };
}

function buildItem(change: Partial<AdmissionItem> = {}): AdmissionItem {
  sequence += 1;
  return {
    requestId: RequestId.parse(`r${sequence}`),
    attempt: 1,
    workspace: Workspace.parse('w'),
    priority: 'normal',
    deadlineMs: clock.getNow() + 30_000,
    promptTokens: 100,
    maxTokens: 10,
    ...change,
  };
}

beforeEach(() => {
  clock = new ManualClock(10_000);
  revision = 0;
  sequence = 0;
  admission = new TargetAdmission({ clock, target: TargetId.parse('canerota-1') });
  admission.setZone(Zone.parse('a'));
  admission.setConnectivity({ storeConfirmedMs: 1e9, outsideZoneHeardMs: 1e9, zoneCount: 2 });
  admission.setDocument(buildDocument());
});

function getKind(item: AdmissionItem): string {
  const result = admission.submit(item);
  return result.type === 'refused' ? result.failure.kind : result.type;
}

describe('TargetAdmission', () => {
  // Guards against a cold target that takes more than its first grant at once.
  it('starts one request on a cold target and queues the next', () => {
    expect(getKind(buildItem())).toBe('start');
    expect(getKind(buildItem())).toBe('queued');
    expect(admission.getLoad()).toMatchObject({ inFlight: 1, limit: 1, queued: 1 });
  });

  // Guards against work that is taken, or queued work that is handed over, in a zone that is out;
  // and against a request in progress that is cut by it.
  it('refuses new and queued work when the zone goes out and keeps what is in progress', () => {
    const running = buildItem();
    const queued = buildItem();
    admission.submit(running);
    admission.submit(queued);
    const outcome = admission.setDocument(buildDocument({ zones: { in: ['b'], out: ['a'] } }));
    expect(outcome.refused.map(({ item, failure }) => [item, failure.kind])).toEqual([
      [queued, 'zone_out'],
    ]);
    expect(getKind(buildItem())).toBe('zone_out');
    expect(admission.getLoad()).toMatchObject({ state: 'zone_out', inFlight: 1, queued: 0 });
    expect(admission.finish(running, WARM).started).toEqual([]);
  });
});
