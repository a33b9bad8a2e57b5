import type { Bench } from '../../report/Bench.js';
import type { BenchResult } from '../../report/BenchResult.js';
import { createResult } from '../../report/createResult.js';
import { measureOutage } from './measureOutage.js';

const SEED = 1;

const OUTAGES: readonly (readonly [outage: 'down' | 'silent', outageMs: number])[] = [
  ['down', 1000],
  ['down', 2500],
  ['down', 60_000],
  ['silent', 1000],
  ['silent', 2500],
  ['silent', 60_000],
];

/** Share of keyed requests that are still served while the store is out. */
export const claimOutageBench: Bench = {
  name: 'claim-outage',
  deterministic: true,
  async run(): Promise<BenchResult[]> {
    const { stackTraceLimit } = Error;
    Error.stackTraceLimit = 0;
    const results: BenchResult[] = [];
    for (const [outage, outageMs] of OUTAGES) {
      const load = { seed: SEED, outage, outageMs };
      const any = await measureOutage({ ...load, hasAffinity: false });
      const same = await measureOutage({ ...load, hasAffinity: true });
      const name = `${outage}-${outageMs}-ms`;
      results.push(
        createResult(`claim-outage.new-keys.${name}`, SEED, any.newKeys, 'share'),
        createResult(`claim-outage.repeats-at-any-agent.${name}`, SEED, any.repeatedKeys, 'share'),
        createResult(
          `claim-outage.repeats-at-same-agent.${name}`,
          SEED,
          same.repeatedKeys,
          'share',
        ),
        createResult(`claim-outage.longest-refusal.${name}`, SEED, any.longestRefusalMs, 'ms'),
        createResult(`claim-outage.mean-waiting.${name}`, SEED, any.meanWaiting, 'requests'),
      );
    }
    Error.stackTraceLimit = stackTraceLimit;
    return results;
  },
};
