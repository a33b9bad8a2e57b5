import type { IncomingMessage } from 'node:http';
import { BodyBuffer, Ok, fail, type Failure, type Result } from '@limpetbay/core';

/**
 * Reads the complete body of a request.
 *
 * @returns the body; or `body_too_large` if it is longer than `maxBytes`, or `cancelled` if the
 * caller disconnected before its end
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Uint8Array, Failure>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return fail('body_too_large', `the body exceeds the limit of ${maxBytes} bytes`);
  }
  const body = new BodyBuffer({ maxBytes });
  try {
    for await (const part of request as AsyncIterable<Buffer>) {
      if (!body.append(part)) {
        return fail('body_too_large', `the body exceeds the limit of ${maxBytes} bytes`);
      }
    }
  } catch {
    return fail('cancelled', 'the caller disconnected while sending the body');
  }
  return Ok(body.take());
}
