import type { StoreRecord } from '@limpetbay/core';
import type { MirrorSnapshot } from './MirrorSnapshot.js';

/** Receives the records under a prefix of the store and their changes. */
export interface MirrorListener {
  /** Called with all records after a full read. */
  onSnapshot(snapshot: MirrorSnapshot): void;
  /** Called when a record was created or changed. */
  onRecord(record: StoreRecord): void;
  onRemoval(key: string): void;
}
