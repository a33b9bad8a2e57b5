import type { Clock } from '../clock/Clock.js';
import type { VersionedDocument } from '../document/VersionedDocument.js';
import type { AnnouncedInstance } from '../membership/AnnouncedInstance.js';
import { Membership } from '../membership/Membership.js';
import type { RandomSource } from '../random/RandomSource.js';
import { ConfigFollower } from './ConfigFollower.js';
import type { ConfigPorts } from './ConfigPorts.js';
import { DocumentTable } from './DocumentTable.js';
import { RelayFeed } from './RelayFeed.js';
import type { RelayEvent } from './RelayEvent.js';

interface ConfigNodeOptions {
  readonly self: AnnouncedInstance;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ports: ConfigPorts;
  /** Called after each change of a document, also for tombstones. */
  readonly onChange?: (document: VersionedDocument) => void;
}

/** Configuration part of one process: its follower, its feed, and the state that both share. */
export class ConfigNode {
  readonly table: DocumentTable;

  readonly membership: Membership;

  readonly follower: ConfigFollower;

  readonly feed: RelayFeed;

  constructor(options: ConfigNodeOptions) {
    const { self, clock, random, ports, onChange } = options;
    this.table = new DocumentTable((document) => {
      this.feed.publish();
      onChange?.(document);
    });
    this.membership = new Membership(clock, self.record.id);
    const { table, membership } = this;
    this.follower = new ConfigFollower({ self, clock, random, ports, table, membership });
    this.feed = new RelayFeed({
      clock,
      table,
      membership,
      hasInstanceList: () => this.follower.hasInstanceList(),
      getConfirmedAt: () => this.follower.getConfirmedAt(),
      getOutsideContactAt: () => this.follower.getOutsideContactAt(),
    });
  }

  /** Runs the follower and the feed; call it every 100 ms. */
  tick(): void {
    this.follower.tick();
    this.feed.tick();
  }

  /**
   * Sends events to a process that follows this one.
   *
   * @param statement the follower's own record; null if it sent none
   * @param knownRevisions revisions by service that the follower has
   * @returns a function that removes the follower
   */
  addFollower(
    statement: AnnouncedInstance | null,
    knownRevisions: ReadonlyMap<string, number>,
    sink: { send(event: RelayEvent): void; isFull(): boolean },
  ): () => void {
    this.handleAnnouncement(statement);
    return this.feed.addFollower(knownRevisions, sink);
  }

  /** Records another process's statement about itself. */
  handleAnnouncement(statement: AnnouncedInstance | null): void {
    if (statement === null) return;
    this.membership.handleAnnouncement(statement);
    this.follower.recordContact(statement.record.zone);
  }

  stop(): void {
    this.follower.stop();
  }
}
