import type { Bench } from '../../report/Bench.js';
import type { BenchResult } from '../../report/BenchResult.js';
import { createResult } from '../../report/createResult.js';
import { measureClaimRate } from './measureClaimRate.js';

const SEED = 1;

/** Store writes per second for the keyed requests of one service, of several hundred for all. */
const BUDGET = 200;

/** Writes per keyed request without batches: the claim and the outcome. */
const UNBATCHED = 2;

const LOADS: readonly (readonly [agents: number, requestsPerSecond: number])[] = [
  [3, 10],
  [3, 100],
  [3, 400],
  [3, 1600],
  [20, 10],
  [20, 100],
  [20, 400],
  [20, 1600],
  [100, 100],
];

/** Store writes per keyed request as the request rate rises. */
export const claimRateBench: Bench = {
  name: 'claim-rate',
  deterministic: true,
  async run(): Promise<BenchResult[]> {
    const { stackTraceLimit } = Error;
    Error.stackTraceLimit = 0;
    const results: BenchResult[] = [];
    let mostWrites = 0;
    let leastClaimed = 1;
    for (const [agents, requestsPerSecond] of LOADS) {
      const rate = await measureClaimRate({
        seed: SEED,
        agents,
        requestsPerSecond,
        budget: BUDGET,
      });
      const name = `${agents}-agents.${requestsPerSecond}-per-second`;
      mostWrites = Math.max(mostWrites, rate.writesPerSecond);
      leastClaimed = Math.min(leastClaimed, rate.claimedShare);
      results.push(
        createResult(
          `claim-rate.writes-per-request.${name}`,
          SEED,
          rate.writesPerRequest,
          'writes',
          UNBATCHED,
        ),
        createResult(`claim-rate.claim-delay-p95.${name}`, SEED, rate.claimDelayMs, 'ms'),
      );
    }
    results.push(
      createResult('claim-rate.most-writes-per-second', SEED, mostWrites, 'writes/s', BUDGET),
      createResult('claim-rate.least-claimed-share', SEED, leastClaimed, 'share'),
    );
    Error.stackTraceLimit = stackTraceLimit;
    return results;
  },
};
