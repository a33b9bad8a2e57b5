import type { ServiceDocument } from './ServiceDocument.js';

const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Tells whether a request may be run more than once. The longest matching route of the document
 * decides. Without one, model requests and safe methods may be repeated and all else may not.
 */
export function isRepeatable(document: ServiceDocument, method: string, path: string): boolean {
  let longest = -1;
  let repeatable = document.service.kind === 'model' || SAFE_METHODS.has(method);
  for (const route of document.routes) {
    if (route.method !== method || !path.startsWith(route.pathPrefix)) continue;
    if (route.pathPrefix.length <= longest) continue;
    longest = route.pathPrefix.length;
    repeatable = route.repeat === 'repeatable';
  }
  return repeatable;
}
