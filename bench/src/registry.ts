import { configBench } from './benches/configBench.js';
import type { Bench } from './report/Bench.js';

/** All benches by name, in the order in which they run. */
export const registry: readonly Bench[] = [configBench];
