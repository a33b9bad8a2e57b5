import { performance } from 'node:perf_hooks';
import type { Clock } from '@limpetbay/core';

/** The clock of the machine. */
export class RealClock implements Clock {
  getNow(): number {
    return performance.now();
  }

  getWallTime(): Date {
    return new Date();
  }
}
