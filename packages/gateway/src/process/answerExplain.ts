import type { IncomingHttpHeaders } from 'node:http';
import { RouteQuery, type RouteExplanation } from '@limpetbay/core';

interface QueryAnswer {
  readonly status: number;
  readonly body: object;
}

const PATH = '/explain';

const BEARER_PATTERN = /^Bearer\s+(\S+)\s*$/i;

/** Most numbers in `tokens`: those of the prompt and of the answer. */
const MAX_TOKEN_COUNTS = 2;

/**
 * Answers `GET /explain`. The API key comes in the `Authorization` header, as in a request, so that
 * it is in no URL.
 *
 * @param url path with its query
 * @returns null for another path
 */
export function answerExplain(
  url: string,
  headers: IncomingHttpHeaders,
  explain: (query: RouteQuery) => RouteExplanation,
): QueryAnswer | null {
  const [path, ...rest] = url.split('?');
  if (path !== PATH) return null;
  const fields = new URLSearchParams(rest.join('?'));
  const tokens = (fields.get('tokens') ?? '0,0').split(',');
  const hint = fields.get('hint');
  const query = RouteQuery.safeParse({
    method: fields.get('method') ?? 'GET',
    host: fields.get('host') ?? '',
    path: fields.get('path') ?? '',
    workspace: fields.get('workspace'),
    apiKey: BEARER_PATTERN.exec(headers.authorization ?? '')?.[1] ?? null,
    promptTokens: toCount(tokens[0]),
    answerTokens: tokens.length > MAX_TOKEN_COUNTS ? NaN : toCount(tokens[1] ?? '0'),
    lengthHint: hint === null ? null : toCount(hint),
  });
  if (query.success) return { status: 200, body: explain(query.data) };
  const messages: string[] = [];
  for (const { path: field, message } of query.error.issues) {
    messages.push(`${field.join('.')}: ${message}`);
  }
  return { status: 400, body: { error: messages.join('; ') } };
}

function toCount(text: string | undefined): number {
  return text !== undefined && /^\d{1,9}$/.test(text) ? Number(text) : NaN;
}
