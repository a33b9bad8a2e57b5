/** Statuses of answers that end with their head. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Returns whether the answer to a call has a body, which may be empty. */
export function hasBody(method: string, status: number): boolean {
  return method !== 'HEAD' && !BODILESS_STATUSES.has(status);
}
