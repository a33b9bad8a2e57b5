import type { Clock } from '../clock/Clock.js';
import type { Epoch } from '../ids/Epoch.js';
import type { Revision } from '../ids/Revision.js';
import type { PlannerLeaseState } from './PlannerLeaseState.js';

/**
 * Share of the lease that the holder leaves unused. Covers clock drift and the time between a check
 * and the action that follows it.
 */
const UNUSED_LEASE_SHARE = 0.25;

const NOT_HELD: PlannerLeaseState = {
  heldUntilMs: -Infinity,
  epoch: 0 as Epoch,
  revision: 0 as Revision,
};

/**
 * The planner lease from its holder's view. It expires by the holder's clock, counted from before
 * the request, and thus before the store can grant it to another planner. The holder must check it
 * before each action, because the process may have been paused since the last check.
 */
export class PlannerLease {
  readonly #clock: Clock;

  #state: PlannerLeaseState;

  constructor(clock: Clock, state: PlannerLeaseState = NOT_HELD) {
    this.#clock = clock;
    this.#state = state;
  }

  getState(): PlannerLeaseState {
    return this.#state;
  }

  /** Whether the holder may act at this time. */
  isHeld(): boolean {
    return this.#clock.getNow() < this.#state.heldUntilMs;
  }

  /**
   * Records that the lease was acquired.
   *
   * @param sentAtMs clock reading before the lease was requested, milliseconds
   */
  recordAcquisition(sentAtMs: number, ttlMs: number, epoch: Epoch, revision: Revision): void {
    this.#state = { heldUntilMs: sentAtMs + ttlMs * (1 - UNUSED_LEASE_SHARE), epoch, revision };
  }

  /** Records a renewal. Has no effect after the lease has expired. */
  renew(sentAtMs: number, ttlMs: number): void {
    if (!this.isHeld()) return;
    this.#state = { ...this.#state, heldUntilMs: sentAtMs + ttlMs * (1 - UNUSED_LEASE_SHARE) };
  }

  /** Marks the lease as no longer held. */
  drop(): void {
    this.#state = NOT_HELD;
  }
}
