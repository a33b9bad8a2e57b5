import type { SimFleet } from './SimFleet.js';

type Request = SimFleet['requests'][number];

/** Returns the share of some requests whose first attempt began an answer; 1 if there are none. */
export function computeBegunShare(
  fleet: SimFleet,
  isCounted: (request: Request) => boolean,
): number {
  const firstAttempts = new Map<string, boolean>();
  for (const { requestId, hasBegun } of fleet.arrivals) {
    if (!firstAttempts.has(requestId)) firstAttempts.set(requestId, hasBegun);
  }
  let sent = 0;
  let begun = 0;
  for (const request of fleet.requests) {
    if (!isCounted(request)) continue;
    sent += 1;
    if (firstAttempts.get(request.id) === true) begun += 1;
  }
  return sent === 0 ? 1 : begun / sent;
}
