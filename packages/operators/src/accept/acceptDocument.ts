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

interface AcceptedDocument {
  readonly revision: Revision;
  /** Previous document; null for a new service or if it cannot be decoded. */
  readonly before: ServiceDocument | null;
  /** Whether the store already held an equal document, so that nothing was written. */
  readonly isUnchanged: boolean;
}

/** Content of the store for a service. */
interface StoredState {
  /** Revision at which the store wrote the record; 0 if there is none. */
  readonly storeRevision: Revision | 0;
  /** Revision that orders the document among its versions; 0 if there is none. */
  readonly revision: Revision | 0;
  readonly document: ServiceDocument | null;
  /** Ids of the accepts in the record, latest first. */
  readonly operationIds: readonly string[];
}

const MAX_ATTEMPTS = 6;
const RETRY_DELAY_MS = 500;
/** Covers every accept that may still be waiting for an answer. */
const MAX_EARLIER_OPERATIONS = 16;
/** Maximum size of a value in the platform's store. */
const MAX_VALUE_BYTES = 1_000_000;

function decodeStoredState(record: StoreRecord | null | undefined): StoredState {
  if (!record) return { storeRevision: 0, revision: 0, document: null, operationIds: [] };
  const decoded = decodeStoredDocument(record);
  const operationIds: string[] = [];
  try {
    const stored = StoredOperation.parse(JSON.parse(record.value));
    operationIds.push(stored.operationId, ...stored.earlierOperations);
  } catch {
    // An unreadable value was not written by an accept; the new document replaces it.
  }
  const { revision: storeRevision } = record;
  if (decoded.err) return { storeRevision, revision: storeRevision, document: null, operationIds };
  const { revision, document } = decoded.val;
  return { storeRevision, revision, document, operationIds };
}

function failConflict(
  options: AcceptOptions,
  base: ServiceDocument | null,
  baseRevision: number,
  currentState: StoredState,
): Result<never, Failure> {
  const { name } = options.document.service;
  const storedChanges = formatDifferences(diffDocuments(base, currentState.document));
  const ownChanges = formatDifferences(diffDocuments(currentState.document, options.document));
  const by =
    currentState.operationIds[0] === undefined
      ? ''
      : ` by operation ${currentState.operationIds[0]}`;
  const lines = [
    `${name} was changed at revision ${currentState.revision}${by}; your document was not written`,
    base === null && baseRevision > 0
      ? `your document is based on revision ${baseRevision}, which is no longer current`
      : `changes in the store since revision ${baseRevision}:\n${storedChanges || '  (nothing)'}`,
    `changes from the stored document to yours:\n${ownChanges || '  (nothing)'}`,
    'merge the stored changes into your file, then accept it again',
  ];
  return fail('conflict', lines.join('\n'));
}

/**
 * Writes a document by compare-and-swap on the revision that was read. An unanswered attempt is
 * repeated with the same condition and operation id: if the first attempt was written, the second one
 * fails its condition, and the record that it returns contains the operation id.
 *
 * @returns the accepted revision; `conflict` with the changes of both sides if another accept was
 *   written first; `store_unavailable` if certainly nothing was written; `outcome_unknown` if the
 *   last attempt failed while an attempt may have been written; `invalid_document` if the document
 *   is too large for the store
 */
export async function acceptDocument(
  options: AcceptOptions,
): Promise<Result<AcceptedDocument, Failure>> {
  const { store, document, operationId, baseRevision, knownRevision, sleep } = options;
  const key = getServiceKey(document.service.name);
  const read = await store.read(key);
  if (read.err) return read;
  const stored = decodeStoredState(read.val.record);
  const isUnchanged =
    stored.document !== null &&
    stored.revision >= knownRevision &&
    diffDocuments(stored.document, document).length === 0;
  // Succeeds even if the base revision is outdated: a repeated accept has nothing to overwrite.
  if (isUnchanged) {
    const revision = Revision.parse(stored.revision);
    return Ok({ revision, before: stored.document, isUnchanged });
  }
  if (baseRevision !== null && baseRevision !== stored.revision) {
    return failConflict(options, null, baseRevision, stored);
  }
  const earlierOperations = stored.operationIds.slice(0, MAX_EARLIER_OPERATIONS);
  const leastRevision = Math.max(stored.revision, knownRevision) + 1;
  const encoded = encodeStoredDocument(document, operationId, leastRevision);
  const value = JSON.stringify({ ...(JSON.parse(encoded) as object), earlierOperations });
  if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
    return fail('invalid_document', `${key}: larger than ${MAX_VALUE_BYTES} bytes in the store`);
  }
  const transaction = {
    era: read.val.era,
    conditions: [{ key, revision: stored.storeRevision }],
    writes: [{ key, value }],
  };
  let mayBeWritten = false;
  let lastMessage = '';
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await sleep(RETRY_DELAY_MS * attempt);
    const answer = await store.commit(transaction);
    if (answer.ok) {
      const { committed, revision: storeRevision, current } = answer.val;
      if (committed) {
        const revision = Revision.parse(Math.max(storeRevision, leastRevision));
        return Ok({ revision, before: stored.document, isUnchanged });
      }
      const currentState = decodeStoredState(current[0]);
      if (currentState.operationIds[0] === operationId) {
        const accepted = Revision.parse(currentState.revision);
        return Ok({ revision: accepted, before: stored.document, isUnchanged });
      }
      if (currentState.operationIds.includes(operationId)) {
        const message = `accepted, then replaced at revision ${currentState.revision}`;
        return fail('conflict', `${document.service.name}: your document was ${message}`);
      }
      return failConflict(options, stored.document, stored.revision, currentState);
    }
    lastMessage = answer.val.message;
    mayBeWritten ||= answer.val.kind !== 'store_unavailable';
    if (!mayBeWritten) return answer;
  }
  const advice = `check with 'limpetbay show ${document.service.name}'`;
  return fail(
    'outcome_unknown',
    `operation ${operationId} may have been accepted; ${advice} (${lastMessage})`,
  );
}
