import { DevFleet, defaultFleetOptions } from '@limpetbay/dev';
import { computeQuantile } from './models/computeQuantile.js';
import type { Bench } from '../report/Bench.js';
import { createResult } from '../report/createResult.js';

const REQUESTS = 400;
const WARM_UP = 100;
const SEED = 0;
const MEDIAN = 0.5;
const P95 = 0.95;

async function measure(url: string): Promise<number> {
  const startMs = performance.now();
  const answer = await fetch(url, { headers: { 'limpetbay-workspace': 'bench' } });
  await answer.arrayBuffer();
  return performance.now() - startMs;
}

/** Time that entry and agent add to a request, beside direct calls to the target in the same run. */
export const entryOverhead: Bench = {
  name: 'entry-overhead',
  deterministic: false,
  run: async () => {
    const fleet = new DevFleet({
      ...defaultFleetOptions,
      zones: ['a'],
      entriesPerZone: 1,
      ranks: 1,
      plainTargets: 1,
      logLevel: 'silent',
    });
    await fleet.start();
    const { url } = [...fleet.entries.values()][0]!;
    const direct: number[] = [];
    const routed: number[] = [];
    // Alternating calls meet the same noise of the machine.
    for (let index = 0; index < REQUESTS + WARM_UP; index += 1) {
      const directMs = await measure(`${fleet.services[0]!.origin}/`);
      const routedMs = await measure(`${url}/services/bookings/`);
      if (index < WARM_UP) continue;
      direct.push(directMs);
      routed.push(routedMs);
    }
    await fleet.stop();
    const results = [];
    for (const [label, quantile] of [
      ['p50', MEDIAN],
      ['p95', P95],
    ] as const) {
      const baseline = computeQuantile(direct, quantile);
      const figure = computeQuantile(routed, quantile);
      results.push(createResult(`entry-overhead.${label}`, SEED, figure, 'ms', baseline));
    }
    return results;
  },
};
