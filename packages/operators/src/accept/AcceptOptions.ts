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
  /** Waits between attempts; the delay is in milliseconds. */
  readonly sleep: (delayMs: number) => Promise<void>;
}
