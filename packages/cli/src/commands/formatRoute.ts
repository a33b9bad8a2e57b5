import type { RouteExplanation } from '@limpetbay/core';

type ServiceExplanation = RouteExplanation['services'][number];

/** Formats the explanation of a route as lines of text. */
export function formatRoute(explanation: RouteExplanation): string {
  const { outcome, refusal, config, route, workspace, priority, waiting, services } = explanation;
  const lines = [`outcome: ${outcome}`];
  if (refusal !== null) lines.push(`refusal: ${refusal.kind}: ${refusal.message}`);
  lines.push(`configuration: ${config ?? 'none'}`);
  if (route !== null) lines.push(`route: ${route.name} (${route.kind}, ${route.prefix})`);
  if (priority !== null) lines.push(`workspace: ${workspace ?? 'none'}, priority: ${priority}`);
  lines.push(`requests that wait at this entry: ${waiting}`);
  for (const service of services) lines.push(...formatService(service));
  return lines.join('\n');
}

function formatService(service: ServiceExplanation): string[] {
  const { name, share, outcome, reason, longestWaitMs, expectedWaitMs, retryAfterMs } = service;
  const lines = [
    `service ${name} (${Math.round(share * 100)} % of the route): ${outcome}, ${reason}`,
  ];
  if (outcome === 'wait') {
    const expected = expectedWaitMs === null ? 'unknown' : `${Math.round(expectedWaitMs)} ms`;
    lines.push(`  expected wait: ${expected}, at most ${Math.round(longestWaitMs)} ms`);
  }
  if (retryAfterMs !== null) lines.push(`  Retry-After: about ${Math.round(retryAfterMs)} ms`);
  for (const check of service.targets) {
    const { target, exclusion, hold, isCold, inFlight, occupancy, failures, passMs } = check;
    const states = [
      exclusion === null ? 'candidate' : `excluded: ${exclusion}`,
      `in flight ${inFlight}, of all entries ${Math.round(occupancy)} of ${target.capacity}`,
    ];
    if (hold !== 'open') states.push(`hold: ${hold}`);
    if (isCold) states.push('cold');
    if (failures >= 0.05) states.push(`recent failures ${failures.toFixed(1)}`);
    if (passMs !== null) states.push(`pass ${passMs.toFixed(1)} ms`);
    lines.push(`  ${target.id} (zone ${target.zone}, ${target.address}): ${states.join('; ')}`);
  }
  return lines;
}
