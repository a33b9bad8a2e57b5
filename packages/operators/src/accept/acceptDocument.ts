import {
  Ok,
  Revision,
  decodeStoredDocument,
  encodeStoredDocument,
  fail,
  getServiceKey,
  type Failure,
  type Result,
  type ServiceDocument,
  type StoreRecord,
} from '@limpetbay/core';
import { diffDocuments } from '../document/diffDocuments.js';
import { formatDifferences } from '../document/formatDifferences.js';
import type { AcceptOptions } from './AcceptOptions.js';
import { StoredOperation } from './StoredOperation.js';

interface Accepted {
  readonly revision: Revision;
  /** Document before; null for a new service. */
  readonly before: ServiceDocument | null;
  /** Whether the store already held this very document, so that nothing was written. */
  readonly isUnchanged: boolean;
}

interface Present {
  readonly revision: Revision | 0;
  readonly document: ServiceDocument | null;
  readonly operations: readonly string[];
}

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 500;
/** Enough for any accept that still waits for its answer. */
const MAX_EARLIER_OPERATIONS = 16;
/** Size of a value in the platform's store. */
const MAX_VALUE_BYTES = 1_000_000;

function decodePresent(record: StoreRecord | null | undefined): Present {
  if (!record) return { revision: 0, document: null, operations: [] };
  const decoded = decodeStoredDocument(record);
  const operations: string[] = [];
  try {
    const stored = StoredOperation.parse(JSON.parse(record.value));
    operations.push(stored.operationId, ...stored.earlierOperations);
  } catch {
    // A value that cannot be read belongs to no accept; the new document replaces it.
  }
  const document = decoded.ok ? decoded.val.document : null;
  return { revision: record.revision, document, operations };
}

function failConflict(
  options: AcceptOptions,
  base: ServiceDocument | null,
  baseRevision: number,
  present: Present,
): Result<never, Failure> {
  const { name } = options.document.service;
  const theirs = formatDifferences(diffDocuments(base, present.document));
  const ours = formatDifferences(diffDocuments(present.document, options.document));
  const by = present.operations[0] === undefined ? '' : ` by operation ${present.operations[0]}`;
  const lines = [
    `${name} was changed at revision ${present.revision}${by}; nothing of yours was written`,
    base === null && baseRevision > 0
      ? `the change is not based on revision ${baseRevision}, from which you started`
      : `they changed since revision ${baseRevision}:\n${theirs || '  (nothing)'}`,
    `your document differs from theirs in:\n${ours || '  (nothing)'}`,
    'merge both into your file, then accept it again',
  ];
  return fail('conflict', lines.join('\n'));
}

/**
 * Writes a document by compare-and-swap on the revision that was read. An attempt whose answer was
 * lost is repeated with the same condition and operation id: if the first took effect, the second
 * cannot, and the record that comes back names our operation.
 *
 * @returns `conflict` with both sides where another accept came first, `store_unavailable` where
 *   surely nothing was written, `outcome_unknown` where the store gave no answer in time
 */
export async function acceptDocument(options: AcceptOptions): Promise<Result<Accepted, Failure>> {
  const { store, document, operationId, baseRevision, sleep } = options;
  const key = getServiceKey(document.service.name);
  const read = await store.read(key);
  if (read.err) return read;
  const before = decodePresent(read.val.record);
  const isUnchanged =
    before.document !== null && diffDocuments(before.document, document).length === 0;
  // Also where the base revision is older: an accept that is repeated has nothing to overwrite.
  if (isUnchanged) {
    const revision = Revision.parse(before.revision);
    return Ok({ revision, before: before.document, isUnchanged });
  }
  if (baseRevision !== null && baseRevision !== before.revision) {
    return failConflict(options, null, baseRevision, before);
  }
  const earlierOperations = before.operations.slice(0, MAX_EARLIER_OPERATIONS);
  const value = JSON.stringify({
    ...(JSON.parse(encodeStoredDocument(document, operationId)) as object),
    earlierOperations,
  });
  if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
    return fail('invalid_document', `${key}: larger than ${MAX_VALUE_BYTES} bytes in the store`);
  }
  const transaction = {
    conditions: [{ key, revision: before.revision }],
    writes: [{ key, value }],
  };
  let mayBeWritten = false;
  let lastMessage = '';
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await sleep(RETRY_DELAY_MS * attempt);
    const answer = await store.commit(transaction);
    if (answer.ok) {
      const { committed, revision, current } = answer.val;
      if (committed) return Ok({ revision, before: before.document, isUnchanged });
      const present = decodePresent(current[0]);
      if (present.operations[0] === operationId) {
        const accepted = Revision.parse(present.revision);
        return Ok({ revision: accepted, before: before.document, isUnchanged });
      }
      if (present.operations.includes(operationId)) {
        const message = `accepted, then replaced at revision ${present.revision}`;
        return fail('conflict', `${document.service.name}: your document was ${message}`);
      }
      return failConflict(options, before.document, before.revision, present);
    }
    lastMessage = answer.val.message;
    mayBeWritten ||= answer.val.kind !== 'store_unavailable';
    if (!mayBeWritten) return answer;
  }
  const advice = `look for it with 'limpetbay show ${document.service.name}'`;
  return fail(
    'outcome_unknown',
    `operation ${operationId} may have been accepted; ${advice} (${lastMessage})`,
  );
}
