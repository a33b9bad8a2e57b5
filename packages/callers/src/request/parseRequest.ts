import type { IncomingMessage } from 'node:http';
import { Ok, ServiceName, fail, type Failure, type Header, type Result } from '@limpetbay/core';
import type { CallerRequest } from './CallerRequest.js';
import { ChatBody } from './ChatBody.js';
import { readCallerHeaders } from './readCallerHeaders.js';

const CHAT_PATH = '/v1/chat/completions';
const SERVICE_PATH_PATTERN = /^\/services\/([^/?]+)(\/[^?]*)?(\?.*)?$/;
/** Average used to estimate the tokens of a prompt. */
const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_MAX_TOKENS = 256;
const PROMPT_PREFIX_CHARACTERS = 4096;
const FORWARDED_HEADERS = [
  'content-type',
  'accept',
  'accept-language',
  'authorization',
  'traceparent',
];

/**
 * Parses a caller's request.
 *
 * @param body the complete body
 * @returns the request, or `bad_request`, `unknown_service`, `method_not_allowed`,
 * `missing_workspace` or `deadline_exceeded`; with each of them the request has not run
 */
export function parseRequest(
  request: IncomingMessage,
  body: Uint8Array,
): Result<CallerRequest, Failure> {
  const url = request.url ?? '/';
  const method = request.method ?? 'GET';
  const isChat = url.split('?')[0] === CHAT_PATH;
  const serviceMatch = SERVICE_PATH_PATTERN.exec(url);
  if (!isChat && serviceMatch === null) return fail('unknown_service', `no service at ${url}`);
  if (isChat && method !== 'POST') {
    return fail('method_not_allowed', `${CHAT_PATH} supports only POST, not ${method}`);
  }
  const headers = readCallerHeaders(request);
  if (headers.err) return headers;
  const common = { ...headers.val, method, headers: listForwardedHeaders(request), body };
  if (isChat) {
    const chat = parseChat(body);
    if (chat.err) return chat;
    return Ok({ ...common, ...chat.val, kind: 'chat', path: CHAT_PATH });
  }
  const name = ServiceName.safeParse(decodeServiceName(serviceMatch![1]!));
  if (!name.success) return fail('unknown_service', `no service at ${url}`);
  return Ok({
    ...common,
    kind: 'service',
    service: name.data,
    path: `${serviceMatch![2] ?? '/'}${serviceMatch![3] ?? ''}`,
    stream: false,
    promptTokens: 0,
    maxTokens: 0,
    prompt: '',
  });
}

function parseChat(
  body: Uint8Array,
): Result<
  Pick<CallerRequest, 'service' | 'stream' | 'promptTokens' | 'maxTokens' | 'prompt'>,
  Failure
> {
  let parsedBody: unknown;
  try {
    parsedBody = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch (error) {
    return fail('bad_request', `the body is not JSON: ${(error as Error).message}`);
  }
  const chat = ChatBody.safeParse(parsedBody);
  if (!chat.success) {
    const issue = chat.error.issues[0]!;
    return fail('bad_request', `${issue.path.join('.')}: ${issue.message}`);
  }
  const prompt = JSON.stringify(chat.data.messages);
  return Ok({
    service: chat.data.model as ServiceName,
    stream: chat.data.stream,
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    maxTokens: chat.data.max_completion_tokens ?? chat.data.max_tokens ?? DEFAULT_MAX_TOKENS,
    prompt: prompt.slice(0, PROMPT_PREFIX_CHARACTERS),
  });
}

function listForwardedHeaders(request: IncomingMessage): Header[] {
  const forwarded: Header[] = [];
  for (const name of FORWARDED_HEADERS) {
    const value = request.headers[name];
    if (typeof value === 'string') forwarded.push({ name, value });
  }
  return forwarded;
}

/** Returns an empty string, which is no valid name, if the encoding is invalid. */
function decodeServiceName(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return '';
  }
}
