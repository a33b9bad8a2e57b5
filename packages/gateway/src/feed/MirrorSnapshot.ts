import type { Era, StoreRecord } from '@limpetbay/core';

/** All records after a full read. */
export interface MirrorSnapshot {
  readonly records: readonly StoreRecord[];
  readonly era: Era;
  /**
   * Whether the store was restored from a copy since the last read, or a few seconds before this one.
   * What is missing in the records, or older than what is known here, may be lost; its writers write
   * it again.
   */
  readonly isRestored: boolean;
}
