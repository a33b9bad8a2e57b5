import { fingerprintPrefix } from './fingerprintPrefix.js';

/** Returns whether a suspect is the fingerprint of a request, and not a prompt part. */
export function isFingerprint(suspect: string): boolean {
  return suspect.startsWith(fingerprintPrefix);
}
