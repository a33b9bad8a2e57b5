import { atMostOnceBench } from './benches/atMostOnce/atMostOnceBench.js';
import { claimOutageBench } from './benches/claimOutage/claimOutageBench.js';
import { claimRateBench } from './benches/claimRate/claimRateBench.js';
import type { Bench } from './report/Bench.js';

/** All benches by name, in the order in which they run. */
export const registry: readonly Bench[] = [atMostOnceBench, claimRateBench, claimOutageBench];
