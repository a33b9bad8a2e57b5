import { createHash } from 'node:crypto';

/** Returns a hash that is equal for two requests with equal method, path and body. */
export function hashRequest(method: string, path: string, body: Uint8Array): string {
  return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64url');
}
