import type { ServiceName } from '../ids/ServiceName.js';
import type { VersionedDocument } from '../document/VersionedDocument.js';
import type { InstanceRecord } from '../membership/InstanceRecord.js';

/** The configuration and membership as one process knows them. */
export interface ConfigSource {
  /** Returns the newest document known; null where none is known or it was deleted. */
  getDocument(name: ServiceName): VersionedDocument | null;
  listDocuments(): VersionedDocument[];
  listInstances(): InstanceRecord[];
  /** Returns what the isolation rule needs; times are monotonic milliseconds. */
  getConnectivity(): {
    readonly storeConfirmedMs: number;
    readonly outsideZoneHeardMs: number;
    readonly zoneCount: number;
  };
  /** Calls `listener` after each change. Returns a function that ends the subscription. */
  subscribe(listener: () => void): () => void;
}
