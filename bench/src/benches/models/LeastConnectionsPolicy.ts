import type { RandomSource } from '@limpetbay/core';
import type { ModelRequest } from './ModelRequest.js';
import type { RoutingPolicy } from './RoutingPolicy.js';

/** Baseline: the target with the fewest attempts of this entry in progress. */
export class LeastConnectionsPolicy implements RoutingPolicy {
  readonly #inFlight: number[];

  readonly #random: RandomSource;

  constructor(count: number, random: RandomSource) {
    this.#inFlight = new Array<number>(count).fill(0);
    this.#random = random;
  }

  pick(): number {
    const count = this.#inFlight.length;
    const first = Math.floor(this.#random.next() * count);
    let best = first;
    for (let step = 1; step < count; step += 1) {
      const target = (first + step) % count;
      if (this.#inFlight[target]! < this.#inFlight[best]!) best = target;
    }
    this.#inFlight[best]! += 1;
    return best;
  }

  finish(_request: ModelRequest, target: number): void {
    this.#inFlight[target]! -= 1;
  }

  acceptLoad(): void {}
}
