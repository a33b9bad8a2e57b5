import { mapSwitchBench } from './benches/mapSwitchBench.js';
import { mapSwitchWalkBench } from './benches/mapSwitchWalkBench.js';
import { skewBench } from './benches/skewBench.js';
import type { Bench } from './report/Bench.js';

/** All benches by name, in the order in which they run. */
export const registry: readonly Bench[] = [skewBench, mapSwitchBench, mapSwitchWalkBench];
