import { overload } from './benches/overload.js';
import { ramp } from './benches/ramp.js';
import { zoneLeave } from './benches/zoneLeave.js';
import type { Bench } from './report/Bench.js';

/** All benches by name, in the order in which they run. */
export const registry: readonly Bench[] = [ramp, overload, zoneLeave];
