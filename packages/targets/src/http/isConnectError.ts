const CONNECT_ERROR_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Returns whether an undici error means that no connection was made, so that nothing was sent. */
export function isConnectError(error: unknown): boolean {
  if (error instanceof AggregateError) return error.errors.every(isConnectError);
  const { code } = error as { code?: string };
  return code !== undefined && CONNECT_ERROR_CODES.has(code);
}
