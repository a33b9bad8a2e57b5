import type { RoutingPolicy } from './RoutingPolicy.js';

/** Baseline: each entry sends to the targets in turn. */
export class RoundRobinPolicy implements RoutingPolicy {
  readonly #count: number;

  #next: number;

  constructor(entry: number, count: number) {
    this.#count = count;
    // Entries begin at different places, as they do where they started at different times.
    this.#next = (entry * 17) % count;
  }

  pick(): number {
    const target = this.#next;
    this.#next = (target + 1) % this.#count;
    return target;
  }

  finish(): void {}

  acceptLoad(): void {}
}
