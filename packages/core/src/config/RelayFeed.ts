import type { Clock } from '../clock/Clock.js';
import type { Membership } from '../membership/Membership.js';
import type { DocumentTable } from './DocumentTable.js';
import type { RelayEvent } from './RelayEvent.js';
import { RelayFollower } from './RelayFollower.js';

interface RelayFeedOptions {
  readonly clock: Clock;
  readonly table: DocumentTable;
  readonly membership: Membership;
  /** Tells whether the membership view is a whole one and not only a few statements. */
  readonly hasInstances: () => boolean;
  /** Returns when the store last confirmed the table, or null. */
  readonly getConfirmedAt: () => number | null;
  /** Returns when a process of another zone was last heard, or null. */
  readonly getOutsideContactAt: () => number | null;
}

const HEARTBEAT_MS = 500;
/** Collects the many membership changes of a rolling restart into one event. */
const INSTANCES_MS = 500;

/** Decides what a process sends to each of its followers, and when. */
export class RelayFeed {
  readonly #options: RelayFeedOptions;

  readonly #followers = new Set<RelayFollower>();

  constructor(options: RelayFeedOptions) {
    this.#options = options;
  }

  /**
   * Adds a follower and sends what it lacks.
   *
   * @param known revisions that the follower has
   * @param sink `isFull` tells whether earlier events still wait in this process
   * @returns the function that removes it
   */
  addFollower(
    known: ReadonlyMap<string, number>,
    sink: { send(event: RelayEvent): void; isFull(): boolean },
  ): () => void {
    const { table, membership } = this.#options;
    const follower = new RelayFollower({
      table,
      membership,
      known,
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

  /** Sends a change of the table at once to all followers that can take it. */
  publish(): void {
    for (const follower of this.#followers) follower.sendDocuments();
  }

  /** Sends what is due: waiting documents, membership changes, heartbeats. */
  tick(): void {
    for (const follower of this.#followers) this.#serve(follower);
  }

  #serve(follower: RelayFollower): void {
    const now = this.#options.clock.getNow();
    // A heartbeat says that nothing is missing, so it waits until everything has been sent.
    if (!follower.sendDocuments()) return;
    if (this.#options.hasInstances()) follower.sendInstances(now, INSTANCES_MS);
    follower.sendHeartbeat(now, HEARTBEAT_MS, () => this.#createHeartbeat(now));
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
