import { hashText } from '@limpetbay/core';
import type { ModelRequest } from './ModelRequest.js';
import type { RoutingPolicy } from './RoutingPolicy.js';

/** Baseline: all requests with one prefix go to one target. */
export class AffinityPolicy implements RoutingPolicy {
  readonly #count: number;

  constructor(count: number) {
    this.#count = count;
  }

  pick(request: ModelRequest): number {
    return hashText(request.prefix) % this.#count;
  }

  finish(): void {}

  acceptLoad(): void {}
}
