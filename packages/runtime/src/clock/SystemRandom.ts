import type { RandomSource } from '@limpetbay/core';

/** Random source backed by `Math.random`. */
export class SystemRandom implements RandomSource {
  next(): number {
    return Math.random();
  }
}
