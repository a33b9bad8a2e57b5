import type { Era, StoreRecord } from '@limpetbay/core';

/** All records after a full read. */
export interface MirrorSnapshot {
  readonly records: readonly StoreRecord[];
  readonly era: Era;
  /**
   * Whether the store was restored from a copy since the last read. What is older or missing in the
   * records than what is known here was lost, and its writers write it again.
   */
  readonly isRestored: boolean;
}
