import type { StoreRecord } from '@limpetbay/core';

/** Receives the contents of a prefix of the store and its changes. */
export interface MirrorListener {
  /** All records, after a full read. */
  acceptAll(records: readonly StoreRecord[]): void;
  acceptRecord(record: StoreRecord): void;
  acceptRemoval(key: string): void;
  /** Whether the store answers this process. */
  setStoreAway(isAway: boolean): void;
}
