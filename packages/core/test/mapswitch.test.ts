import { describe, expect, it } from 'vitest';
import { ManualClock, PlannerLease, StepGate } from '@limpetbay/core';
import type { Epoch, Incarnation, MapRecord, Revision } from '@limpetbay/core';

const CONFIG = { rank: 0, ranks: 2, window: 4 };
const COMMITTED_RECORD: MapRecord = {
  epoch: 3 as Epoch,
  operation: 'a',
  status: 'committed',
  boundary: 0,
  incarnations: [5 as Incarnation, 5 as Incarnation],
  map: { version: 7, layers: [] },
  previous: { version: 6, layers: [] },
};

function createPendingRecord(boundary: number): MapRecord {
  const map = { version: 8, layers: [] };
  return {
    ...COMMITTED_RECORD,
    status: 'pending',
    operation: 'b',
    boundary,
    map,
    previous: COMMITTED_RECORD.map,
  };
}

function createGate(): StepGate {
  const gate = new StepGate(CONFIG, StepGate.createState(CONFIG, 5 as Incarnation, 10));
  gate.handleStoreRecord(COMMITTED_RECORD, 3 as Epoch);
  gate.confirmLoaded({ epoch: 3 as Epoch, map: { version: 8, layers: [] } });
  return gate;
}

describe('StepGate', () => {
  // Guards against a restarted agent that grants steps before it knows the map.
  it('grants no step before it has read the store', () => {
    const gate = new StepGate(CONFIG, StepGate.createState(CONFIG, 5 as Incarnation, 10));
    expect(gate.grant()).toBeNull();
    expect(gate.isWaiting()).toBe(true);
  });

  // Guards against a promise for a step that the previous agent process may have granted already.
  it('refuses a boundary within a window of the engine step after a start', () => {
    expect(createGate().answerPromise(createPendingRecord(13)).refusal).toBe('granted');
    expect(createGate().answerPromise(createPendingRecord(14)).refusal).toBeNull();
  });

  // Guards against a promise without loaded weights, which would stall the group at the boundary.
  it('refuses a promise without loaded weights, for a stale epoch or for an old incarnation', () => {
    const gate = createGate();
    gate.handleEngineRestart(6 as Incarnation);
    expect(gate.answerPromise(createPendingRecord(20)).refusal).toBe('old_incarnation');
    const record = createPendingRecord(20);
    const incarnations = [6, 5] as Incarnation[];
    expect(gate.answerPromise({ ...record, incarnations }).refusal).toBe('not_loaded');
    const stale = { ...record, epoch: 2 as Epoch };
    expect(createGate().answerPromise(stale).refusal).toBe('stale_epoch');
  });

  // Guards against a rank that changes the map before it knows the decision.
  it('grants steps up to the boundary, and beyond it after the decision', () => {
    const gate = createGate();
    gate.answerPromise(createPendingRecord(14));
    gate.handleStep(13);
    expect(gate.grant()).toMatchObject({ until: 13, versionBefore: 7, versionFrom: null });
    gate.handleStep(14);
    expect(gate.grant()).toBeNull();
    gate.handleDecision({ ...createPendingRecord(14), status: 'committed' });
    expect(gate.grant()).toMatchObject({ until: 17, boundary: 14, versionFrom: 8 });
  });
});

describe('PlannerLease', () => {
  // Guards against a holder that counts its lease from the reply, or acts after a process pause
  // during which the lease expired.
  it('expires by the clock reading before the request, and cannot be renewed after it', () => {
    const clock = new ManualClock();
    const lease = new PlannerLease(clock);
    clock.advance(800);
    lease.recordAcquisition(0, 4000, 1 as Epoch, 2 as Revision);
    clock.advance(2199);
    expect(lease.isHeld()).toBe(true);
    clock.advance(1);
    expect(lease.isHeld()).toBe(false);
    lease.renew(3000, 4000);
    expect(lease.isHeld()).toBe(false);
  });
});
