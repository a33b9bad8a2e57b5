import type { Result } from 'ts-results';
import { z } from 'zod';
import { ServiceDocument } from '../document/ServiceDocument.js';
import type { VersionedDocument } from '../document/VersionedDocument.js';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import { Revision } from '../ids/Revision.js';
import { ServiceName } from '../ids/ServiceName.js';
import { parseJson } from '../schema/parseJson.js';
import { servicePrefix } from './servicePrefix.js';

const StoredValue = z.object({
  operationId: z.string(),
  /** Absent in documents of earlier builds. */
  leastRevision: Revision.default(Revision.parse(0)),
  document: ServiceDocument,
});

/**
 * Decodes a service document record of the store.
 *
 * @param record key, value and revision; a null value is a deletion
 * @returns the document or tombstone; `invalid_document` if the key names no service or the value
 *   is not a valid document
 */
export function decodeStoredDocument(record: {
  readonly key: string;
  readonly value: string | null;
  readonly revision: Revision;
}): Result<VersionedDocument, Failure> {
  const { key, value, revision } = record;
  const name = ServiceName.safeParse(key.slice(servicePrefix.length));
  if (!key.startsWith(servicePrefix) || !name.success) {
    return fail('invalid_document', `store key ${key} does not name a service`);
  }
  if (value === null) return Ok({ name: name.data, revision, operationId: '', document: null });
  const decoded = parseJson(value);
  if (decoded.err) {
    const { message } = decoded.val;
    return fail('invalid_document', `store key ${key} at revision ${revision} is ${message}`);
  }
  const stored = StoredValue.safeParse(decoded.val);
  if (!stored.success) {
    const issue = z.prettifyError(stored.error).replaceAll('\n', ' ');
    return fail('invalid_document', `store key ${key} at revision ${revision}: ${issue}`);
  }
  const { leastRevision, ...content } = stored.data;
  const ordered = Revision.parse(Math.max(revision, leastRevision));
  return Ok({ name: name.data, revision: ordered, ...content });
}
