import type { Server } from '@grpc/grpc-js';
import {
  ConfigNode,
  servicePrefix,
  type AnnouncedInstance,
  type Clock,
  type ConfigFreshness,
  type ConfigPorts,
  type InstanceList,
  type InstanceRecord,
  type Membership,
  type RandomSource,
  type Store,
  type VersionedDocument,
} from '@limpetbay/core';
import { RelayClient } from './RelayClient.js';
import { RelayServer } from './RelayServer.js';
import type { RevisionReport } from './RevisionReport.js';
import { loadRelayService } from './loadRelayService.js';

/** The part of the runtime's log that is used here. */
interface ServiceLog {
  report(sentence: string, fields?: Record<string, unknown>): void;
  warn(sentence: string, fields?: Record<string, unknown>): void;
}

interface ConfigServiceOptions {
  readonly store: Store;
  readonly instanceList: InstanceList;
  /** This process as others reach it; `address` is that of `server`. */
  readonly self: InstanceRecord;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** The process's gRPC server; the `Relay` service is added to it. */
  readonly server: Pick<Server, 'addService'>;
  readonly log: ServiceLog;
}

const TICK_MS = 100;
const MICROSECONDS_PER_MS = 1000;

/**
 * Keeps the documents and the membership view of a daemon current, and relays them to others where
 * the process is chosen.
 */
export class ConfigService {
  readonly #options: ConfigServiceOptions;

  readonly #client = new RelayClient();

  readonly #node: ConfigNode;

  readonly #server: RelayServer;

  readonly #listeners = new Set<(document: VersionedDocument) => void>();

  readonly #inForceSince = new Map<string, number>();

  #self: AnnouncedInstance;

  #timer: NodeJS.Timeout | null = null;

  #loggedState: string | null = null;

  constructor(options: ConfigServiceOptions) {
    const { self, clock, random, server } = options;
    this.#options = options;
    // Grows over restarts of the same instance, so that a new start revokes an old `leaving`.
    const sequence = clock.getWallTime().getTime() * MICROSECONDS_PER_MS;
    this.#self = { record: self, sequence };
    this.#node = new ConfigNode({
      self: this.#self,
      clock,
      random,
      ports: this.#createPorts(),
      onChange: (document) => this.#acceptChange(document),
    });
    const node = this.#node;
    this.#server = new RelayServer({ node, clock, getReport: () => this.getReport() });
    server.addService(loadRelayService().service, this.#server.getHandlers());
  }

  /** Begins to follow. */
  start(): void {
    if (this.#timer !== null) return;
    this.#tick();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Ends all streams and the watch; the known documents stay readable. */
  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#timer = null;
    this.#node.stop();
    this.#server.stop();
  }

  /**
   * Calls `listener` after each change of a document, also for tombstones (`document` null).
   *
   * @returns the function that ends it
   */
  onChange(listener: (document: VersionedDocument) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Returns the latest document of a service, or its tombstone; undefined where none is known. */
  getDocument(name: string): VersionedDocument | undefined {
    return this.#node.table.getDocument(name);
  }

  /** Lists the latest documents and tombstones. */
  listDocuments(): VersionedDocument[] {
    return this.#node.table.listDocuments();
  }

  getMembership(): Membership {
    return this.#node.membership;
  }

  getFreshness(): ConfigFreshness {
    return this.#node.follower.getFreshness();
  }

  /** Records that a process of `zone` was heard in another stream, such as an attempt. */
  recordContact(zone: string): void {
    this.#node.follower.recordContact(zone);
  }

  /** Tells relays and followers that this process is leaving. */
  setLeaving(): void {
    this.#self = {
      record: { ...this.#self.record, state: 'leaving' },
      sequence: this.#self.sequence + 1,
    };
    this.#node.follower.setSelf(this.#self);
  }

  /** Returns what `accept` and `status` are told. */
  getReport(): RevisionReport {
    const { follower, feed, table } = this.#node;
    const freshness = this.getFreshness();
    const now = this.#options.clock.getNow();
    const confirmedAt = freshness.lastStoreConfirmationAt;
    const contactAt = freshness.lastOutsideContactAt;
    const revisions = new Map<string, { revision: number; deleted: boolean; inForceMs: number }>();
    for (const { name, revision, document } of table.listDocuments()) {
      const inForceMs = now - (this.#inForceSince.get(name) ?? now);
      revisions.set(name, { revision, deleted: document === null, inForceMs });
    }
    return {
      self: this.#self,
      revisions,
      state: freshness.state,
      ready: freshness.ready,
      isRelay: follower.isRelay(),
      followers: feed.countFollowers(),
      zoneCount: freshness.zoneCount,
      confirmationAgeMs: confirmedAt === null ? null : now - confirmedAt,
      outsideContactAgeMs: contactAt === null ? null : now - contactAt,
    };
  }

  #tick(): void {
    this.#node.tick();
    const { state, ready, lastStoreConfirmationAt } = this.getFreshness();
    const label = ready ? state : 'not_ready';
    if (label === this.#loggedState) return;
    this.#loggedState = label;
    const confirmedMsAgo =
      lastStoreConfirmationAt === null
        ? 'never'
        : Math.round(this.#options.clock.getNow() - lastStoreConfirmationAt);
    const fields = { state: label, confirmedMsAgo };
    if (label === 'fresh') this.#options.log.report('the configuration is confirmed', fields);
    else this.#options.log.warn('the configuration is not confirmed', fields);
  }

  #acceptChange(document: VersionedDocument): void {
    const { name, revision } = document;
    this.#inForceSince.set(name, this.#options.clock.getNow());
    const sentence = document.document === null ? 'document deleted' : 'document in force';
    this.#options.log.report(sentence, { service: name, revision });
    for (const listener of this.#listeners) listener(document);
  }

  #createPorts(): ConfigPorts {
    const { store, instanceList, log } = this.#options;
    return {
      readDocuments: (respond) => {
        void store.readPrefix(servicePrefix).then(respond);
      },
      watchDocuments: (fromRevision, listener) =>
        store.watch(servicePrefix, fromRevision, listener),
      fetchInstances: (respond) => {
        void instanceList.fetchInstances().then(respond);
      },
      followPeer: (peer, self, known, listener) =>
        this.#client.follow(peer.address, self, known, listener),
      notifyPeer: (peer, self) => this.#client.tell(peer.address, self),
      warn: (sentence, fields) => log.warn(sentence, fields),
    };
  }
}
