import type { Membership } from '../membership/Membership.js';
import type { DocumentTable } from './DocumentTable.js';
import type { RelayEvent } from './RelayEvent.js';

interface RelayFollowerOptions {
  readonly table: DocumentTable;
  readonly membership: Membership;
  /** Revisions that the follower has. */
  readonly known: ReadonlyMap<string, number>;
  readonly send: (event: RelayEvent) => void;
  /** Tells whether earlier events still wait in this process; nothing more is sent until not. */
  readonly isFull: () => boolean;
}

/** What one follower has been sent. */
export class RelayFollower {
  readonly #options: RelayFollowerOptions;

  readonly #known: Map<string, number>;

  #tableVersion = -1;

  #membershipVersion: number | null = null;

  #instancesAt = -Infinity;

  #heartbeatAt = -Infinity;

  constructor(options: RelayFollowerOptions) {
    this.#options = options;
    this.#known = new Map(options.known);
  }

  /**
   * Sends the newest revision of each document that the follower lacks. A follower that is slow to
   * read gets only the newest revision once it can take more.
   *
   * @returns whether the follower has now been sent everything
   */
  sendDocuments(): boolean {
    const { table, send, isFull } = this.#options;
    if (isFull()) return false;
    const version = table.getVersion();
    if (this.#tableVersion === version) return true;
    for (const document of table.listNewer(this.#known)) {
      this.#known.set(document.name, document.revision);
      send({ kind: 'document', document });
    }
    this.#tableVersion = version;
    return true;
  }

  /** Sends membership changes, at most once in `intervalMs`. */
  sendInstances(now: number, intervalMs: number): void {
    const { membership, send } = this.#options;
    const version = membership.getVersion();
    if (this.#membershipVersion === version || now - this.#instancesAt < intervalMs) return;
    const changes = membership.listChanges(this.#membershipVersion);
    this.#membershipVersion = version;
    this.#instancesAt = now;
    send({ kind: 'instances', ...changes });
  }

  /** Sends a heartbeat where the last one is at least `intervalMs` old. */
  sendHeartbeat(now: number, intervalMs: number, create: () => RelayEvent): void {
    if (now - this.#heartbeatAt < intervalMs) return;
    this.#heartbeatAt = now;
    this.#options.send(create());
  }
}
