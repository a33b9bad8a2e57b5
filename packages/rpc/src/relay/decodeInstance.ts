import { AnnouncedInstance } from '@limpetbay/core';
import type { RelayMessages } from './RelayMessages.js';

/** Decodes the message of an instance. @returns null if it does not match the schema */
export function decodeInstance(
  message: RelayMessages['Instance'] | null | undefined,
): AnnouncedInstance | null {
  if (!message) return null;
  const { sequence, callerUrl, target, ...rest } = message;
  const parsed = AnnouncedInstance.safeParse({
    record: {
      ...rest,
      // Protocol buffers decode an absent string as an empty one.
      ...(callerUrl ? { callerUrl } : {}),
      ...(target ? { target } : {}),
    },
    sequence,
  });
  return parsed.success ? parsed.data : null;
}
