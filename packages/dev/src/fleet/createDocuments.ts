import { ServiceDocument } from '@limpetbay/core';
import type { DevFleetOptions } from './DevFleetOptions.js';

/** Creates the documents of the development fleet's two services. */
export function createDocuments(options: DevFleetOptions): Map<string, ServiceDocument> {
  const ranks: string[] = [];
  for (let rank = 0; rank < options.ranks; rank += 1) ranks.push(`canerota-${rank}`);
  const zones = { in: [...options.zones], out: [] };
  const common = { zones, limits: {}, keys: {} };
  const ramp = { start: 4, growth: 2, intervalMs: 200 };
  const model = ServiceDocument.parse({
    ...common,
    service: { name: 'canerota', kind: 'model' },
    targets: { include: ['canerota-*'] },
    groups: [{ name: 'canerota-g0', ranks }],
    ramp,
  });
  const plain = ServiceDocument.parse({
    ...common,
    service: { name: 'bookings', kind: 'plain' },
    targets: { include: ['bookings-*'] },
    ramp,
    routes: [
      { method: 'GET', pathPrefix: '/', repeat: 'repeatable' },
      { method: 'POST', pathPrefix: '/bookings', repeat: 'once' },
    ],
  });
  return new Map([
    ['canerota', model],
    ['bookings', plain],
  ]);
}
