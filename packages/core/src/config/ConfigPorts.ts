import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import type { Revision } from '../ids/Revision.js';
import type { AnnouncedInstance } from '../membership/AnnouncedInstance.js';
import type { InstanceRecord } from '../membership/InstanceRecord.js';
import type { StoreRecord } from '../store/StoreRecord.js';
import type { StoreWatchListener } from '../store/StoreWatchListener.js';
import type { RelayEvent } from './RelayEvent.js';

/** What the configuration logic asks of the outside. Answers must not arrive within the call. */
export interface ConfigPorts {
  /** Reads all service documents of the store. */
  readDocuments(
    respond: (
      answer: Result<{ records: readonly StoreRecord[]; revision: Revision }, Failure>,
    ) => void,
  ): void;
  /** Watches all service documents. @returns the stop function */
  watchDocuments(fromRevision: Revision, listener: StoreWatchListener): () => void;
  /** Reads the platform's instance list. */
  fetchInstances(respond: (answer: Result<readonly InstanceRecord[], Failure>) => void): void;
  /**
   * Opens a stream of a peer's events.
   *
   * @param self this process, as it tells the peer
   * @param known revisions that need not be sent
   * @returns the function that closes it
   */
  followPeer(
    peer: InstanceRecord,
    self: AnnouncedInstance,
    known: ReadonlyMap<string, number>,
    listener: {
      acceptEvent(event: RelayEvent): void;
      /** The stream ended or could not be opened. */
      acceptEnd(): void;
    },
  ): () => void;
  /** Tells a peer this process's record; the answer does not matter. */
  tellPeer(peer: InstanceRecord, self: AnnouncedInstance): void;
  /** Reports a fault that an operator should see. */
  warn(sentence: string, fields?: Record<string, unknown>): void;
}
