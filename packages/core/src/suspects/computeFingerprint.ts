import { createHash } from 'node:crypto';
import { fingerprintPrefix } from './fingerprintPrefix.js';

interface FingerprintedRequest {
  readonly method: string;
  readonly host: string;
  /** Path with its query. */
  readonly url: string;
  /** What identifies the caller; only its digest leaves this function. */
  readonly caller: string;
  readonly body: Uint8Array;
  /** Description of the prompt, where it is to tell requests apart; none by default. */
  readonly prompt?: string;
}

/** Bytes at either end of a long body that are hashed; the rest counts by its length only. */
const MAX_HASHED_BYTES = 32_768;

const DIGEST_LENGTH = 32;

/**
 * Computes what a request has in common with its repetitions by the same caller at any entry, and
 * with no other request. The work is bounded for bodies of any length.
 *
 * @returns a prefix and 32 hexadecimal digits, from which neither caller nor body can be derived
 */
export function computeFingerprint(request: FingerprintedRequest): string {
  const { method, host, url, caller, body, prompt } = request;
  const hash = createHash('sha256');
  const fields = [method, host, url, caller, body.length];
  hash.update(JSON.stringify(prompt === undefined ? fields : [...fields, prompt]));
  if (body.length <= 2 * MAX_HASHED_BYTES) hash.update(body);
  else {
    hash.update(body.subarray(0, MAX_HASHED_BYTES));
    hash.update(body.subarray(body.length - MAX_HASHED_BYTES));
  }
  return `${fingerprintPrefix}${hash.digest('hex').slice(0, DIGEST_LENGTH)}`;
}
