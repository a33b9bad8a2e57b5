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
import type { AdmissionItem, AdmissionSample, VersionedDocument } from '@limpetbay/core';

export const WARM: AdmissionSample = { serviceTimeMs: 100, stepTimeMs: 20, error: false };

/** One connected target in zone `a` whose limit ramps from 1 to 8, with helpers for its events. */
export class AdmissionFixture {
  readonly clock = new ManualClock(10_000);

  readonly admission: TargetAdmission;

  #revision = 0;

  #sequence = 0;

  constructor(options: { attemptCapacity?: number } = {}) {
    const target = TargetId.parse('canerota-1');
    this.admission = new TargetAdmission({ clock: this.clock, target, ...options });
    this.admission.setZone(Zone.parse('a'));
    this.connect(Infinity, Infinity);
    this.admission.setDocument(this.buildDocument());
  }

  connect(storeConfirmedMs: number, outsideZoneHeardMs: number, zoneCount = 2): void {
    this.admission.setConnectivity({ storeConfirmedMs, outsideZoneHeardMs, zoneCount });
  }

  buildDocument(change: object = {}): VersionedDocument {
    this.#revision += 1;
    return {
      name: ServiceName.parse('canerota'),
      revision: Revision.parse(this.#revision),
      operationId: 'op',
      document: ServiceDocument.parse({
        service: { name: 'canerota', kind: 'model' },
        zones: { in: ['a', 'b'] },
        targets: { include: ['canerota-*'] },
        ramp: { start: 1, growth: 1.5, intervalMs: 1000 },
        limits: { maxInFlight: 8, queue: 8 },
        keys: {},
        ...change,
      }),
    };
  }

  buildItem(change: Partial<AdmissionItem> = {}): AdmissionItem {
    this.#sequence += 1;
    return {
      requestId: RequestId.parse(`r${this.#sequence}`),
      attempt: 1,
      workspace: Workspace.parse('w'),
      priority: 'normal',
      deadlineMs: this.clock.getNow() + 30_000,
      promptTokens: 100,
      maxTokens: 10,
      ...change,
    };
  }

  /** Submits an item; returns `start`, `queued`, `duplicate` or the kind of the refusal. */
  submit(item = this.buildItem()): string {
    const result = this.admission.submit(item);
    return result.type === 'refused' ? result.failure.kind : result.type;
  }

  /** Keeps all slots in use for a time, with requests that all yield the same sample. */
  load(durationMs: number, sample: AdmissionSample = WARM, observe?: () => void): void {
    const running = new Map<AdmissionItem, number>();
    const endMs = this.clock.getNow() + durationMs;
    while (this.clock.getNow() < endMs) {
      this.clock.advance(10);
      const nowMs = this.clock.getNow();
      for (const item of this.admission.tick().started) running.set(item, nowMs);
      for (const [item, startedMs] of running) {
        if (nowMs - startedMs < sample.serviceTimeMs) continue;
        running.delete(item);
        for (const next of this.admission.finish(item, sample).started) running.set(next, nowMs);
      }
      for (;;) {
        const item = this.buildItem();
        const result = this.admission.submit(item);
        for (const next of result.outcome.started) running.set(next, nowMs);
        if (result.type !== 'start') {
          for (const next of this.admission.cancel(item).started) running.set(next, nowMs);
          break;
        }
        running.set(item, nowMs);
      }
      observe?.();
    }
    for (const item of running.keys()) this.admission.cancel(item);
  }

  getLimit(): number {
    return this.admission.getLoad().limit;
  }
}
