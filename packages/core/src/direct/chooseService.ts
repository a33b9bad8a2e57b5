import type { RandomSource } from '../random/RandomSource.js';
import type { DirectRoute } from './DirectRoute.js';

/** Chooses a service of a route at random by weight. */
export function chooseService(route: DirectRoute, random: RandomSource): string {
  let total = 0;
  for (const { weight } of route.services) total += weight;
  let left = random.next() * total;
  for (const { service, weight } of route.services) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.services[0]?.service ?? '';
}
