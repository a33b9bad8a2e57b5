import { Ok, fail, type Failure, type Result, type ServiceDocument } from '@limpetbay/core';
import type { CallerRequest } from '@limpetbay/callers';

/**
 * Checks a request against the document of its service.
 *
 * @returns the time limit of the request, milliseconds; or `unknown_service`,
 * `method_not_allowed` or `body_too_large`
 */
export function checkRequest(
  request: CallerRequest,
  document: ServiceDocument,
): Result<number, Failure> {
  const { service, limits, routes } = document;
  const expectedKind = service.kind === 'model' ? 'chat' : 'service';
  if (request.kind !== expectedKind) {
    return fail('unknown_service', `${service.name} is not served at this path`);
  }
  const matchingRoutes = routes.filter(({ pathPrefix }) => request.path.startsWith(pathPrefix));
  const isMethodAllowed = matchingRoutes.some(({ method }) => method === request.method);
  if (expectedKind === 'service' && matchingRoutes.length > 0 && !isMethodAllowed) {
    return fail('method_not_allowed', `${request.path} does not allow ${request.method}`);
  }
  if (request.body.length > limits.bodyBytes) {
    return fail('body_too_large', `the body exceeds the limit of ${limits.bodyBytes} bytes`);
  }
  return Ok(Math.min(request.deadlineMs ?? limits.deadlineMs, limits.deadlineMs));
}
