import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from './RandomSource.js';

const UINT32_RANGE = 2 ** 32;

/** A random source that returns the same sequence for the same seed. */
export class SeededRandom implements RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return (this.#generator.next() >>> 0) / UINT32_RANGE;
  }
}
