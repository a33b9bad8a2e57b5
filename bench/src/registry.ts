import type { Bench } from './report/Bench.js';
import { decisionCost } from './benches/decisionCost.js';
import { routing } from './benches/routing.js';
import { zoneDeath } from './benches/zoneDeath.js';

/** All benches by name, in the order in which they run. */
export const registry: readonly Bench[] = [routing, zoneDeath, decisionCost];
