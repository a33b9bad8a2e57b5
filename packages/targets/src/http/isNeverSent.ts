const CONNECT_ERRORS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Tells whether an error of undici means that no connection existed, so nothing was sent. */
export function isNeverSent(error: unknown): boolean {
  if (error instanceof AggregateError) return error.errors.every(isNeverSent);
  const { code } = error as { code?: string };
  return code !== undefined && CONNECT_ERRORS.has(code);
}
