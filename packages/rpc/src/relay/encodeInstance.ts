import type { AnnouncedInstance } from '@limpetbay/core';
import type { RelayMessages } from './RelayMessages.js';

/** Encodes an announced instance as its protobuf message. */
export function encodeInstance(instance: AnnouncedInstance): RelayMessages['Instance'] {
  return { ...instance.record, sequence: instance.sequence };
}
