import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import type { AnnouncedInstance } from '../membership/AnnouncedInstance.js';
import type { InstanceRecord } from '../membership/InstanceRecord.js';
import type { StorePosition } from '../store/StorePosition.js';
import type { StoreRecord } from '../store/StoreRecord.js';
import type { StoreWatchListener } from '../store/StoreWatchListener.js';
import type { RelayEvent } from './RelayEvent.js';

/**
 * I/O that the configuration logic uses. Callbacks must not be called before the method returns.
 */
export interface ConfigPorts {
  /** Reads all service documents of the store. */
  readDocuments(
    respond: (
      answer: Result<{ readonly records: readonly StoreRecord[] } & StorePosition, Failure>,
    ) => void,
  ): void;
  /** Watches all service documents. @returns a function that stops the watch */
  watchDocuments(from: StorePosition, listener: StoreWatchListener): () => void;
  /** Reads the platform's instance list. */
  fetchInstances(respond: (answer: Result<readonly InstanceRecord[], Failure>) => void): void;
  /**
   * Opens a stream of events from a peer.
   *
   * @param self this process's record, sent to the peer
   * @param knownRevisions revisions by service that the peer need not send
   * @returns a function that closes the stream
   */
  followPeer(
    peer: InstanceRecord,
    self: AnnouncedInstance,
    knownRevisions: ReadonlyMap<string, number>,
    listener: {
      onEvent(event: RelayEvent): void;
      /** Called when the stream ended or could not be opened. */
      onEnd(): void;
    },
  ): () => void;
  /** Sends this process's record to a peer; the answer is ignored. */
  notifyPeer(peer: InstanceRecord, self: AnnouncedInstance): void;
  /** Logs a warning for operators. */
  warn(message: string, fields?: Record<string, unknown>): void;
}
