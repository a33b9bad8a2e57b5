import type { IncomingMessage } from 'node:http';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';

/**
 * Reads the whole body of a request.
 *
 * @param maxBytes limit; a longer body gives `body_too_large`, a broken one `cancelled`
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Uint8Array, Failure>> {
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
    return fail('body_too_large', `the body is over the limit of ${maxBytes} bytes`);
  }
  const parts: Buffer[] = [];
  let size = 0;
  try {
    for await (const part of request as AsyncIterable<Buffer>) {
      size += part.length;
      if (size > maxBytes) {
        return fail('body_too_large', `the body is over the limit of ${maxBytes} bytes`);
      }
      parts.push(part);
    }
  } catch {
    return fail('cancelled', 'the caller went away while sending the body');
  }
  return Ok(Buffer.concat(parts));
}
