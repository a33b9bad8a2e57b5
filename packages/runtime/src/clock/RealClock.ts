import { performance } from 'node:perf_hooks';
import type { Clock } from '@limpetbay/core';

/** Clock of the operating system: monotonic milliseconds and wall time. */
export class RealClock implements Clock {
  getNow(): number {
    return performance.now();
  }

  getWallTime(): Date {
    return new Date();
  }
}
