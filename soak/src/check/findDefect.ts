import { buildAnswer } from '../standins/buildAnswer.js';
import { buildEvents } from '../standins/buildEvents.js';

/**
 * Compares a successful answer with the one that the target wrote.
 *
 * @param sentHash SHA-1 of the body of the request, hexadecimal
 * @returns what is wrong with it; empty if nothing is
 */
export function findDefect(
  request: { readonly id: string; readonly path: string; readonly sentHash: string },
  headers: Readonly<Record<string, unknown>>,
  body: Buffer,
): string {
  if (headers['x-limpetbay-response-signature'] === undefined) return 'no signature';
  const echoed = headers['x-limpetbay-request-id'];
  if (echoed !== request.id) return `answer of ${String(echoed)}`;
  const isStream = request.path.startsWith('/note/');
  const wanted = isStream
    ? Buffer.from(buildEvents(request.id).join(''))
    : Buffer.concat(buildAnswer(request.id, request.path, request.sentHash));
  if (body.equals(wanted)) return '';
  return `body of ${body.length} bytes differs from the ${wanted.length} bytes of the target`;
}
