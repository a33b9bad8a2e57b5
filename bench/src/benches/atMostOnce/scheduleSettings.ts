import type { ClaimOptions } from '@limpetbay/core';

interface ScheduleSettings {
  /** Interval of the timers of entries and agents. */
  readonly tickMs: number;
  /** An entry treats a stream without a frame for this long as stalled. */
  readonly progressTimeoutMs: number;
  /** Interval of the progress frames that an agent sends until the answer begins. */
  readonly progressIntervalMs: number;
  /** Callers and faults are active until this time; afterwards everything works again. */
  readonly activeMs: number;
  /** Time at which the schedule ends. */
  readonly endMs: number;
  readonly claims: Partial<ClaimOptions>;
}

/**
 * Limits of a schedule. All limits of the product are shortened alike, so that many schedules fit
 * into one run.
 */
export const scheduleSettings: ScheduleSettings = {
  tickMs: 50,
  progressTimeoutMs: 600,
  progressIntervalMs: 200,
  activeMs: 5000,
  endMs: 10_000,
  claims: {
    callTimeoutMs: 400,
    storeWaitMs: 600,
    pollMs: [50, 400],
    ownerGraceMs: 1000,
    bodyBytes: 50,
    cacheBytes: 1500,
  },
};
