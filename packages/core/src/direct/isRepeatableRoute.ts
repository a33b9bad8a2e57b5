import type { DirectRoute } from './DirectRoute.js';

/** Returns whether a request may run more than once; streams only where they can be resumed. */
export function isRepeatableRoute(route: DirectRoute): boolean {
  return route.kind === 'safe' || (route.kind === 'stream' && route.isResumable);
}
