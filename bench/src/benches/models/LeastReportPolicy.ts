import type { LoadReport } from '@limpetbay/core';
import type { RoutingPolicy } from './RoutingPolicy.js';

/** Baseline: the least load by the last report of each target, without own sends. Herds. */
export class LeastReportPolicy implements RoutingPolicy {
  readonly #tokens: number[];

  constructor(count: number) {
    this.#tokens = new Array<number>(count).fill(0);
  }

  pick(): number {
    let best = 0;
    for (let target = 1; target < this.#tokens.length; target += 1) {
      if (this.#tokens[target]! < this.#tokens[best]!) best = target;
    }
    return best;
  }

  finish(): void {}

  acceptLoad(report: LoadReport): void {
    const index = Number(report.target.slice(1));
    this.#tokens[index] = report.tokensInFlight + report.queuedPromptTokens;
  }
}
