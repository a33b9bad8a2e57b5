import type { ServiceDocument } from '../document/ServiceDocument.js';

/**
 * Builds the store value of a document.
 *
 * @param operationId id of the accept; settles an accept whose answer was lost
 */
export function encodeStoredDocument(document: ServiceDocument, operationId: string): string {
  return JSON.stringify({ operationId, document });
}
