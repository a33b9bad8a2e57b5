import type { ServiceDocument } from '../document/ServiceDocument.js';

/**
 * Builds the store value of a document.
 *
 * @param operationId id of the operation that accepts the document; shows later whether an accept
 *   without an answer from the store took effect
 * @param leastRevision revision that the document has at least, also if the store writes it at a
 *   lower one because it was restored from a copy
 */
export function encodeStoredDocument(
  document: ServiceDocument,
  operationId: string,
  leastRevision = 0,
): string {
  return JSON.stringify({ operationId, leastRevision, document });
}
