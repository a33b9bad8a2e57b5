import type { Membership } from '../membership/Membership.js';
import type { DocumentTable } from './DocumentTable.js';
import type { RelayEvent } from './RelayEvent.js';

interface RelayFollowerOptions {
  readonly table: DocumentTable;
  readonly membership: Membership;
  /** Revisions by service that the follower has. */
  readonly knownRevisions: ReadonlyMap<string, number>;
  readonly send: (event: RelayEvent) => void;
  /** Returns whether earlier events are still buffered in this process; no more are sent then. */
  readonly isFull: () => boolean;
}

/** Tracks what has been sent to one follower, and sends it what is missing. */
export class RelayFollower {
  readonly #options: RelayFollowerOptions;

  readonly #knownRevisions: Map<string, number>;

  #tableVersion = -1;

  #membershipVersion: number | null = null;

  #instancesSentAt = -Infinity;

  #heartbeatSentAt = -Infinity;

  constructor(options: RelayFollowerOptions) {
    this.#options = options;
    this.#knownRevisions = new Map(options.knownRevisions);
  }

  /**
   * Sends the newest revision of each document that the follower lacks. A slow follower skips the
   * revisions between, and gets the newest one when its buffer is free.
   *
   * @returns whether everything has been sent to the follower
   */
  sendDocuments(): boolean {
    const { table, send, isFull } = this.#options;
    if (isFull()) return false;
    const version = table.getVersion();
    if (this.#tableVersion === version) return true;
    for (const document of table.listNewer(this.#knownRevisions)) {
      this.#knownRevisions.set(document.name, document.revision);
      send({ kind: 'document', document });
    }
    this.#tableVersion = version;
    return true;
  }

  /** Sends membership changes, at most once in `intervalMs`. */
  sendInstances(now: number, intervalMs: number): void {
    const { membership, send } = this.#options;
    const version = membership.getVersion();
    if (this.#membershipVersion === version || now - this.#instancesSentAt < intervalMs) return;
    const changes = membership.listChanges(this.#membershipVersion);
    this.#membershipVersion = version;
    this.#instancesSentAt = now;
    send({ kind: 'instances', ...changes });
  }

  /** Sends a heartbeat if the last one is at least `intervalMs` old. */
  sendHeartbeat(now: number, intervalMs: number, createHeartbeat: () => RelayEvent): void {
    if (now - this.#heartbeatSentAt < intervalMs) return;
    this.#heartbeatSentAt = now;
    this.#options.send(createHeartbeat());
  }
}
