import type { ServiceDocument } from '../document/ServiceDocument.js';

/**
 * Builds the store value of a document.
 *
 * @param operationId id of the operation that accepts the document; shows later whether an accept
 *   without an answer from the store took effect
 */
export function encodeStoredDocument(document: ServiceDocument, operationId: string): string {
  return JSON.stringify({ operationId, document });
}
