import { createHash } from 'node:crypto';

/** Returns a hash that tells whether two requests with the same key are the same request. */
export function hashRequest(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url');
}
