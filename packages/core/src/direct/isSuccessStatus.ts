const SUCCESS_STATUSES = { first: 200, last: 299 } as const;

/** Returns whether an HTTP status reports a success. */
export function isSuccessStatus(status: number): boolean {
  return status >= SUCCESS_STATUSES.first && status <= SUCCESS_STATUSES.last;
}
