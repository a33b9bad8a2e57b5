/** Exit statuses of the `limpetbay` command. */
export const ExitStatus = {
  ok: 0,
  /** The command was refused or failed, or `status` found problems. */
  failed: 1,
  /** A setting or a document is invalid. */
  invalid: 2,
  /** The document was accepted, but not every process confirmed its activation in time. */
  unconfirmed: 3,
  /** `route`: the request would be refused; one that would wait has status 3. */
  refused: 4,
} as const;
