import type { RandomSource } from '../random/RandomSource.js';
import type { DirectRoute } from './DirectRoute.js';

/** Chooses a service of a route at random, in proportion to the weights. */
export function chooseService(route: DirectRoute, random: RandomSource): string {
  let totalWeight = 0;
  for (const { weight } of route.services) totalWeight += weight;
  let remainingWeight = random.next() * totalWeight;
  for (const { service, weight } of route.services) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return service;
  }
  return route.services[0]?.service ?? '';
}
