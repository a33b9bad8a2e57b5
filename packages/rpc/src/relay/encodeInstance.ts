import type { AnnouncedInstance } from '@limpetbay/core';
import type { RelayMessages } from './RelayMessages.js';

/** Builds the message of an instance. */
export function encodeInstance(instance: AnnouncedInstance): RelayMessages['Instance'] {
  return { ...instance.record, sequence: instance.sequence };
}
