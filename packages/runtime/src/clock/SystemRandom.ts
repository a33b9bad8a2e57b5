import type { RandomSource } from '@limpetbay/core';

/** The random source of the machine. */
export class SystemRandom implements RandomSource {
  next(): number {
    return Math.random();
  }
}
