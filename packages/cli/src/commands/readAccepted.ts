import {
  Ok,
  decodeStoredDocument,
  getServiceKey,
  type Failure,
  type Result,
  type VersionedDocument,
} from '@limpetbay/core';
import type { CommandContext } from './CommandContext.js';

/** Reads the accepted document of a service; null where there is none. */
export async function readAccepted(
  context: CommandContext,
  name: string,
): Promise<Result<VersionedDocument | null, Failure>> {
  const read = await context.store.read(getServiceKey(name));
  if (read.err) return read;
  return read.val.record === null ? Ok(null) : decodeStoredDocument(read.val.record);
}
