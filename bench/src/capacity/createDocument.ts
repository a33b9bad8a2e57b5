import { ServiceDocument, VersionedDocument } from '@limpetbay/core';

/** Creates a model's document with one group. */
export function createDocument(ranks: number, revision: number): VersionedDocument {
  const document = ServiceDocument.parse({
    service: { name: 'canerota', kind: 'model' },
    zones: { in: ['zone-0', 'zone-1', 'zone-2'], out: ['zone-3'] },
    targets: { include: ['canerota-*'] },
    groups: [
      {
        name: 'canerota-g0',
        ranks: Array.from({ length: ranks }, (_, rank) => `canerota-g0-${rank}`),
      },
    ],
    ramp: {},
    limits: {},
    keys: {},
  });
  return VersionedDocument.parse({
    name: 'canerota',
    revision,
    operationId: '7b0f3f5e-5c0e-4a57-9a57-0d2b0c7f1a11',
    document,
  });
}
