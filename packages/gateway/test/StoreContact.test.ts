import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock } from '@limpetbay/core';
import { MetricRegistry } from '@limpetbay/runtime';
import { StoreContact } from '../src/index.js';

const LOG = { report: () => {}, warn: () => {}, alert: () => {} };

const ADVANCE_INTERVAL_MS = 250;

const RENEWAL_INTERVAL_MS = 800;

const OUTAGE_MS = 3000;

const PAUSE_MS = 5000;

describe('StoreContact', () => {
  let clock: ManualClock;
  let contact: StoreContact;
  let changes: string[];

  beforeEach(() => {
    clock = new ManualClock();
    changes = [];
    contact = new StoreContact({
      clock,
      log: LOG,
      metrics: new MetricRegistry(),
      onChange: (isUnavailable) => changes.push(isUnavailable ? 'away' : 'back'),
    });
  });

  function advance(ms: number): void {
    for (let passedMs = 0; passedMs < ms; passedMs += ADVANCE_INTERVAL_MS) {
      clock.advance(ADVANCE_INTERVAL_MS);
      contact.advance();
    }
  }

  // Guards against an outage that is only a call whose answer was lost, or a lost connection.
  it('takes no failure for an outage that an answer follows soon', () => {
    for (let call = 0; call < 10; call += 1) {
      advance(RENEWAL_INTERVAL_MS / 2);
      contact.handleFailure('connection closed');
      contact.handleAnswer();
    }
    expect(changes).toEqual([]);
  });

  // Guards against an outage seen in an idle process, which calls nothing for seconds.
  it('takes silence without a failed call for no outage', () => {
    advance(OUTAGE_MS);
    contact.handleAnswer();
    expect(changes).toEqual([]);
  });

  it('takes failed calls for an outage until the next answer', () => {
    contact.handleAnswer();
    advance(OUTAGE_MS / 2);
    contact.handleFailure('refused');
    advance(OUTAGE_MS / 2);
    expect(contact.isAvailable()).toBe(false);
    contact.handleAnswer();
    expect(contact.isAvailable()).toBe(true);
    expect(changes).toEqual(['away', 'back']);
  });

  // Guards against an outage that ends unnoticed between two advances.
  it('notices an outage at the answer that ends it', () => {
    clock.advance(RENEWAL_INTERVAL_MS);
    contact.advance();
    contact.handleFailure('no answer');
    clock.advance(RENEWAL_INTERVAL_MS);
    contact.handleAnswer();
    expect(changes).toEqual(['away', 'back']);
  });

  // Guards against targets that left while the process was paused and that it uses when it wakes.
  it('takes a pause of the process for no outage', () => {
    contact.handleAnswer();
    advance(ADVANCE_INTERVAL_MS);
    clock.advance(PAUSE_MS);
    contact.handleFailure('no answer in time');
    contact.advance();
    contact.handleAnswer();
    expect(changes).toEqual([]);
  });
});
