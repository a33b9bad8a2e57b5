import type { RelayEvent } from '@limpetbay/core';
import type { RelayMessages } from './RelayMessages.js';
import { encodeInstance } from './encodeInstance.js';

/** Encodes a relay event as its protobuf message. */
export function encodeRelayEvent(event: RelayEvent): RelayMessages['RelayEvent'] {
  if (event.kind === 'document') {
    const { name, revision, operationId, document } = event.document;
    const json = document === null ? '' : JSON.stringify(document);
    return { document: { name, revision, operationId, json } };
  }
  if (event.kind === 'instances') {
    const { full, upserts, removed } = event;
    return { instances: { full, upserts: upserts.map(encodeInstance), removed } };
  }
  const { confirmationAgeMs, outsideContactAgeMs } = event;
  return {
    heartbeat: {
      ...(confirmationAgeMs === null ? {} : { confirmationAgeMs }),
      ...(outsideContactAgeMs === null ? {} : { outsideContactAgeMs }),
    },
  };
}
