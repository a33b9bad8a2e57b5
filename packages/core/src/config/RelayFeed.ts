import type { Clock } from '../clock/Clock.js';
import type { Membership } from '../membership/Membership.js';
import type { DocumentTable } from './DocumentTable.js';
import type { RelayEvent } from './RelayEvent.js';
import { RelayFollower } from './RelayFollower.js';

interface RelayFeedOptions {
  readonly clock: Clock;
  readonly table: DocumentTable;
  readonly membership: Membership;
  /** Returns whether the membership is complete and not just a few statements. */
  readonly hasInstanceList: () => boolean;
  /** Returns when the store last confirmed the table, or null. */
  readonly getConfirmedAt: () => number | null;
  /** Returns when a message from another zone last arrived, or null. */
  readonly getOutsideContactAt: () => number | null;
}

const HEARTBEAT_INTERVAL_MS = 500;
/** Collects the many membership changes of a rolling restart into one event. */
const INSTANCES_INTERVAL_MS = 500;

/** Decides what a process sends to each of its followers, and when. */
export class RelayFeed {
  readonly #options: RelayFeedOptions;

  readonly #followers = new Set<RelayFollower>();

  constructor(options: RelayFeedOptions) {
    this.#options = options;
  }

  /**
   * Adds a follower and sends it the documents that it lacks.
   *
   * @param knownRevisions revisions by service that the follower has
   * @param sink `isFull` returns whether earlier events are still buffered in this process
   * @returns a function that removes the follower
   */
  addFollower(
    knownRevisions: ReadonlyMap<string, number>,
    sink: { send(event: RelayEvent): void; isFull(): boolean },
  ): () => void {
    const { table, membership } = this.#options;
    const follower = new RelayFollower({
      table,
      membership,
      knownRevisions,
      send: (event) => sink.send(event),
      isFull: () => sink.isFull(),
    });
    this.#followers.add(follower);
    this.#serve(follower);
    return () => {
      this.#followers.delete(follower);
    };
  }

  countFollowers(): number {
    return this.#followers.size;
  }

  /** Sends a change of the table at once to all followers whose sink is not full. */
  publish(): void {
    for (const follower of this.#followers) follower.sendDocuments();
  }

  /** Sends pending documents, and membership changes and heartbeats that are due. */
  tick(): void {
    for (const follower of this.#followers) this.#serve(follower);
  }

  #serve(follower: RelayFollower): void {
    const now = this.#options.clock.getNow();
    // A heartbeat states that the follower has all documents, so they must all be sent before it.
    if (!follower.sendDocuments()) return;
    if (this.#options.hasInstanceList()) follower.sendInstances(now, INSTANCES_INTERVAL_MS);
    follower.sendHeartbeat(now, HEARTBEAT_INTERVAL_MS, () => this.#createHeartbeat(now));
  }

  #createHeartbeat(now: number): RelayEvent {
    const confirmedAt = this.#options.getConfirmedAt();
    const contactAt = this.#options.getOutsideContactAt();
    return {
      kind: 'heartbeat',
      confirmationAgeMs: confirmedAt === null ? null : now - confirmedAt,
      outsideContactAgeMs: contactAt === null ? null : now - contactAt,
    };
  }
}
