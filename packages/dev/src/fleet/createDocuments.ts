import { ServiceDocument } from '@limpetbay/core';
import type { DevFleetOptions } from './DevFleetOptions.js';

/**
 * Creates the documents of the model service `canerota` and the plain service `bookings`.
 *
 * @returns the documents by service name
 */
export function createDocuments(options: DevFleetOptions): Map<string, ServiceDocument> {
  const ranks: string[] = [];
  for (let rank = 0; rank < options.ranks; rank += 1) ranks.push(`canerota-${rank}`);
  const zones = { in: [...options.zones], out: [] };
  const shared = { zones, limits: {}, keys: {} };
  const ramp = { start: 4, growth: 2, intervalMs: 200 };
  const modelDocument = ServiceDocument.parse({
    ...shared,
    service: { name: 'canerota', kind: 'model' },
    targets: { include: ['canerota-*'] },
    groups: [{ name: 'canerota-g0', ranks }],
    ramp,
  });
  const plainDocument = ServiceDocument.parse({
    ...shared,
    service: { name: 'bookings', kind: 'plain' },
    targets: { include: ['bookings-*'] },
    ramp,
    routes: [
      { method: 'GET', pathPrefix: '/', repeat: 'repeatable' },
      { method: 'POST', pathPrefix: '/bookings', repeat: 'once' },
    ],
  });
  return new Map([
    ['canerota', modelDocument],
    ['bookings', plainDocument],
  ]);
}
