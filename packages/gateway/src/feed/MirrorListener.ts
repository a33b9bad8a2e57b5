import type { StoreRecord } from '@limpetbay/core';

/** Receives the records under a prefix of the store and their changes. */
export interface MirrorListener {
  /** Called with all records after a full read. */
  onSnapshot(records: readonly StoreRecord[]): void;
  /** Called when a record was created or changed. */
  onRecord(record: StoreRecord): void;
  onRemoval(key: string): void;
  /** Called when the store becomes unavailable to this process, or available again. */
  onStoreAvailabilityChange(isUnavailable: boolean): void;
}
