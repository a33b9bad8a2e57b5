/** Exit statuses of the operators' command. */
export const ExitStatus = {
  ok: 0,
  /** The request was refused, failed, or `status` found problems. */
  failed: 1,
  /** A setting or a document is wrong. */
  invalid: 2,
  /** The document was accepted, but not every process has confirmed it in time. */
  unconfirmed: 3,
} as const;
