import { Revision, ServiceDocument, ServiceName } from '@limpetbay/core';
import type { VersionedDocument } from '@limpetbay/core';

/** Builds a document of the fleet models, with default ramp and limits. */
export function buildDocument(
  revision: number,
  zonesIn: string[],
  zonesOut: string[] = [],
  options: {
    readonly maxInFlight?: number;
    readonly queue?: number;
    readonly rampStart?: number;
  } = {},
): VersionedDocument {
  return {
    name: ServiceName.parse('canerota'),
    revision: Revision.parse(revision),
    operationId: `op-${revision}`,
    document: ServiceDocument.parse({
      service: { name: 'canerota', kind: 'model' },
      zones: { in: zonesIn, out: zonesOut },
      targets: { include: ['canerota-*'] },
      ramp: { start: options.rampStart },
      limits: { maxInFlight: options.maxInFlight, queue: options.queue },
      keys: {},
    }),
  };
}
