import { describe, expect, it } from 'vitest';
import type { OrderAnswer, RankOrder } from '@limpetbay/core';
import { SimTimers } from '@limpetbay/standins';
import { SimDeployment } from './support/SimDeployment.js';
import { smallGroup } from './support/smallGroup.js';

const SEED = 7;

const WARM_UP_MS = 4000;

const ORDER_TIMEOUT_MS = 60;

/** Delay of the hold that gets no answer; the group stays idle for `IDLE_MS` after it. */
const LATE_HOLD_MS = 2100;
const IDLE_MS = 1900;

/** Time after the requests continue in which the late release is carried out, milliseconds. */
const RELEASE_DELAY_MS = 60;

/** A rank that is armed neither first nor last. */
const SILENT_RANK = 2;

/**
 * Lets the group become idle as soon as a change holds a pass. The first order to hold and the first
 * one to release it get no answer: the hold is carried out late, the release on request.
 */
class IdleChange {
  /** Whether the next order to hold is the one of the change. */
  isDue = false;

  /** Carries out the first release; null until it was ordered. */
  release: (() => void) | null = null;

  readonly #deployment: SimDeployment;

  #step: number | null = null;

  #version: number | null = null;

  constructor(deployment: SimDeployment) {
    this.#deployment = deployment;
  }

  async carryOut(
    rank: number,
    order: RankOrder,
    carryOut: () => OrderAnswer,
  ): Promise<OrderAnswer> {
    if (!this.#isUnanswered(rank, order, carryOut)) return carryOut();
    await new Promise((resolve) => {
      setTimeout(resolve, ORDER_TIMEOUT_MS);
    });
    return 'lost';
  }

  #isUnanswered(rank: number, order: RankOrder, carryOut: () => OrderAnswer): boolean {
    if (order.operation === 'hold' && this.isDue) {
      this.isDue = false;
      this.#step = order.step;
      this.#deployment.setWork(false);
      setTimeout(carryOut, LATE_HOLD_MS);
      return true;
    }
    if (order.operation === 'go' && order.step === this.#step && this.release === null) {
      this.release = carryOut;
      return true;
    }
    if (order.operation !== 'arm' || this.#step === null) return false;
    this.#version ??= order.version;
    return order.version !== this.#version && rank === SILENT_RANK;
  }
}

describe('a release that is carried out late', () => {
  // Guards against a boundary that two changes of an idle group share: the release of the first one
  // lets its pass begin while some ranks are armed for the second.
  it('does not release the pass of a later change', async () => {
    const timers = new SimTimers();
    timers.begin();
    const deployment = new SimDeployment(timers, smallGroup, SEED);
    const change = new IdleChange(deployment);
    deployment.orderFaults = change;
    try {
      await deployment.start();
      await timers.advance(WARM_UP_MS);
      deployment.group.shiftDemand();
      change.isDue = true;
      await timers.advance(LATE_HOLD_MS + IDLE_MS);
      expect(change.release).not.toBeNull();
      deployment.setWork(true);
      await timers.advance(RELEASE_DELAY_MS);
      change.release?.();
      await timers.advance(WARM_UP_MS);
    } finally {
      deployment.stop();
      timers.end();
    }
    expect(deployment.group.group.mixedPasses).toBe(0);
    expect(new Set(deployment.group.group.ranks.map(({ map }) => map)).size).toBe(1);
  });
});
