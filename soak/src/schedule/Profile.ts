import type { FaultPlan } from './FaultPlan.js';

/** Sizes of a run and the faults that it draws from; a kind listed twice is drawn twice as often. */
export interface Profile {
  readonly entries: number;
  readonly agents: number;
  readonly targets: number;
  readonly callersPerEntry: number;
  /** Mean time between two faults, milliseconds. */
  readonly faultGapMs: number;
  /** Largest number of simultaneous callers of one fault. */
  readonly maxBurst: number;
  readonly kinds: readonly FaultPlan['kind'][];
}
