import type { ServiceDocument, Store } from '@limpetbay/core';

/** What `acceptDocument` needs. */
export interface AcceptOptions {
  readonly store: Store;
  readonly document: ServiceDocument;
  /** Unique id of this accept; the same for all its attempts. */
  readonly operationId: string;
  /**
   * Revision that the operator started from, where known; 0 for a new service. Another revision
   * in the store is a conflict.
   */
  readonly baseRevision: number | null;
  /** Waits between attempts, milliseconds. */
  readonly sleep: (delayMs: number) => Promise<void>;
}
