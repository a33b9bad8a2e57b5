import type { ServiceDocument, Store } from '@limpetbay/core';

/** Input of `acceptDocument`. */
export interface AcceptOptions {
  readonly store: Store;
  readonly document: ServiceDocument;
  /** Unique id of this accept operation, shared by all its attempts. */
  readonly operationId: string;
  /**
   * Revision that the operator edited; 0 for a new service, null if unknown. A different revision in
   * the store is a conflict.
   */
  readonly baseRevision: number | null;
  /**
   * Highest revision of the document that processes have, 0 if unknown. It is higher than that of the
   * store if the store was restored from a copy; the document is then accepted above it.
   */
  readonly knownRevision: number;
  /** Waits between attempts; the delay is in milliseconds. */
  readonly sleep: (delayMs: number) => Promise<void>;
}
