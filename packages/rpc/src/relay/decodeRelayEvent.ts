import {
  InstanceId,
  Ok,
  VersionedDocument,
  parseJson,
  type AnnouncedInstance,
  type RelayEvent,
} from '@limpetbay/core';
import type { RelayMessages } from './RelayMessages.js';
import { decodeInstance } from './decodeInstance.js';

function decodeDocument(
  message: NonNullable<RelayMessages['RelayEvent']['document']>,
): RelayEvent | null {
  const { json, ...rest } = message;
  const document = json === '' ? Ok(null) : parseJson(json);
  if (document.err) return null;
  const parsed = VersionedDocument.safeParse({ ...rest, document: document.val });
  return parsed.success ? { kind: 'document', document: parsed.data } : null;
}

/** Decodes a relay event; skips instances that do not match the schema. @returns null if invalid */
export function decodeRelayEvent(message: RelayMessages['RelayEvent']): RelayEvent | null {
  const { document, instances, heartbeat } = message;
  if (document) return decodeDocument(document);
  if (instances) {
    const upserts: AnnouncedInstance[] = [];
    for (const item of instances.upserts) {
      const instance = decodeInstance(item);
      if (instance !== null) upserts.push(instance);
    }
    const removed: InstanceId[] = [];
    for (const id of instances.removed) {
      const parsed = InstanceId.safeParse(id);
      if (parsed.success) removed.push(parsed.data);
    }
    return { kind: 'instances', full: instances.full, upserts, removed };
  }
  if (!heartbeat) return null;
  return {
    kind: 'heartbeat',
    confirmationAgeMs: heartbeat.confirmationAgeMs ?? null,
    outsideContactAgeMs: heartbeat.outsideContactAgeMs ?? null,
  };
}
