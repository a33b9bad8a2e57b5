import type { LockStepFleet } from './LockStepFleet.js';
import type { RoutingPolicy } from './RoutingPolicy.js';

/** Unreachable baseline: the least load of all ranks as it is at this moment. */
export class ExactLoadPolicy implements RoutingPolicy {
  readonly #fleet: LockStepFleet;

  constructor(fleet: LockStepFleet) {
    this.#fleet = fleet;
  }

  pick(): number {
    let best = 0;
    let bestTokens = Infinity;
    for (const [index, rank] of this.#fleet.ranks.entries()) {
      const tokens = rank.getTokens() + 4 * rank.getQueuedPromptTokens();
      if (tokens >= bestTokens) continue;
      best = index;
      bestTokens = tokens;
    }
    return best;
  }

  finish(): void {}

  acceptLoad(): void {}
}
