import {
  Ok,
  decodeStoredDocument,
  getServiceKey,
  type Failure,
  type Result,
  type VersionedDocument,
} from '@limpetbay/core';
import type { CommandContext } from './CommandContext.js';

/** Reads the accepted document of a service from the store; null if there is none. */
export async function readAcceptedDocument(
  context: CommandContext,
  serviceName: string,
): Promise<Result<VersionedDocument | null, Failure>> {
  const result = await context.store.read(getServiceKey(serviceName));
  if (result.err) return result;
  return result.val.record === null ? Ok(null) : decodeStoredDocument(result.val.record);
}
