import type { ServiceName } from '../ids/ServiceName.js';
import type { VersionedDocument } from '../document/VersionedDocument.js';
import type { InstanceRecord } from '../membership/InstanceRecord.js';

/** Read access to the configuration and membership that one process holds. */
export interface ConfigSource {
  /** Returns the newest known document; null if none is known or the service was deleted. */
  getDocument(name: ServiceName): VersionedDocument | null;
  listDocuments(): VersionedDocument[];
  listInstances(): InstanceRecord[];
  /** Returns the inputs of the isolation rule; times are monotonic milliseconds. */
  getConnectivity(): {
    readonly storeConfirmedMs: number;
    readonly outsideZoneHeardMs: number;
    readonly zoneCount: number;
  };
  /** Calls `listener` after each change. Returns a function that ends the subscription. */
  subscribe(listener: () => void): () => void;
}
