import type { IncomingMessage } from 'node:http';
import { Ok, Priority, Workspace, fail, type Failure, type Result } from '@limpetbay/core';

const MAX_DEADLINE_MS = 3_600_000;
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

interface CallerHeaders {
  readonly workspace: Workspace;
  readonly priority: Priority;
  readonly deadlineMs: number | null;
  readonly idempotencyKey: string;
  readonly keyTimeMs: number;
}

/**
 * Reads the request headers of limpetbay: the `Limpetbay-` ones and `Idempotency-Key`.
 *
 * @returns the headers; or `missing_workspace`, `deadline_exceeded` for a deadline that has passed,
 * or `bad_request` for a header that is repeated, malformed or out of range
 */
export function readCallerHeaders(request: IncomingMessage): Result<CallerHeaders, Failure> {
  for (const [name, values] of Object.entries(request.headersDistinct)) {
    const isLimpetbayHeader = name.startsWith('limpetbay-') || name === 'idempotency-key';
    if (isLimpetbayHeader && values !== undefined && values.length > 1) {
      return fail('bad_request', `header ${name} is given ${values.length} times`);
    }
  }
  const workspace = Workspace.safeParse(request.headers['limpetbay-workspace']);
  if (!workspace.success) {
    return fail('missing_workspace', 'header Limpetbay-Workspace is missing or too long');
  }
  const priority = Priority.safeParse(request.headers['limpetbay-priority'] ?? 'normal');
  if (!priority.success) {
    return fail('bad_request', 'header Limpetbay-Priority must be high, normal or low');
  }
  const deadlineText = request.headers['limpetbay-deadline-ms'];
  const deadlineMs = deadlineText === undefined ? null : Number(deadlineText);
  if (deadlineMs !== null && !(deadlineMs <= MAX_DEADLINE_MS)) {
    return fail('bad_request', `header Limpetbay-Deadline-Ms must be 1 to ${MAX_DEADLINE_MS}`);
  }
  if (deadlineMs !== null && deadlineMs <= 0) {
    return fail('deadline_exceeded', 'the deadline passed before the request arrived');
  }
  const idempotencyKey = String(request.headers['idempotency-key'] ?? '');
  if (idempotencyKey.length > MAX_IDEMPOTENCY_KEY_LENGTH) {
    return fail(
      'bad_request',
      `header Idempotency-Key is longer than ${MAX_IDEMPOTENCY_KEY_LENGTH} characters`,
    );
  }
  const keyTimeMs = Number(request.headers['limpetbay-key-time'] ?? 0);
  if (!(keyTimeMs >= 0)) {
    return fail('bad_request', 'header Limpetbay-Key-Time must be a time in Unix milliseconds');
  }
  return Ok({
    workspace: workspace.data,
    priority: priority.data,
    deadlineMs,
    idempotencyKey,
    keyTimeMs,
  });
}
