import type { RandomSource } from '@limpetbay/core';
import type { RoutingPolicy } from './RoutingPolicy.js';

/** Baseline that cannot herd, because it reads no reports: a uniform random choice. */
export class RandomPolicy implements RoutingPolicy {
  readonly #count: number;

  readonly #random: RandomSource;

  constructor(count: number, random: RandomSource) {
    this.#count = count;
    this.#random = random;
  }

  pick(): number {
    return Math.floor(this.#random.next() * this.#count);
  }

  finish(): void {}

  acceptLoad(): void {}
}
