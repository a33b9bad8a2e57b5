import { Ok, fail, type Failure, type Result, type ServiceDocument } from '@limpetbay/core';
import type { CallerRequest } from '@limpetbay/callers';

/**
 * Checks a request against the document of its service.
 *
 * @returns the time that the request may take, milliseconds; or `unknown_service`,
 * `method_not_allowed` or `body_too_large`
 */
export function checkRequest(
  request: CallerRequest,
  document: ServiceDocument,
): Result<number, Failure> {
  const { service, limits, routes } = document;
  const wanted = service.kind === 'model' ? 'chat' : 'service';
  if (request.kind !== wanted) {
    return fail('unknown_service', `${service.name} is not served at this path`);
  }
  const onPath = routes.filter(({ pathPrefix }) => request.path.startsWith(pathPrefix));
  const allowed = onPath.some(({ method }) => method === request.method);
  if (wanted === 'service' && onPath.length > 0 && !allowed) {
    return fail('method_not_allowed', `${request.path} does not take ${request.method}`);
  }
  if (request.body.length > limits.bodyBytes) {
    return fail('body_too_large', `the body is over the limit of ${limits.bodyBytes} bytes`);
  }
  return Ok(Math.min(request.deadlineMs ?? limits.deadlineMs, limits.deadlineMs));
}
