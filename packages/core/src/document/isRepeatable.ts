import type { ServiceDocument } from './ServiceDocument.js';

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Returns whether a request may be run more than once. The matching route with the longest path
 * prefix decides. Without one, only model requests and safe methods may be repeated.
 */
export function isRepeatable(document: ServiceDocument, method: string, path: string): boolean {
  let longestPrefixLength = -1;
  let repeatable = document.service.kind === 'model' || SAFE_METHODS.has(method);
  for (const route of document.routes) {
    if (route.method !== method || !path.startsWith(route.pathPrefix)) continue;
    if (route.pathPrefix.length <= longestPrefixLength) continue;
    longestPrefixLength = route.pathPrefix.length;
    repeatable = route.repeat === 'repeatable';
  }
  return repeatable;
}
