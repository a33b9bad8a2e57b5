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

/** The methods of the runtime log that this service uses. */
interface ServiceLog {
  report(sentence: string, fields?: Record<string, unknown>): void;
  warn(sentence: string, fields?: Record<string, unknown>): void;
}

interface ConfigServiceOptions {
  readonly store: Store;
  readonly instanceList: InstanceList;
  /** The announced record of this process; `address` is the address of `server`. */
  readonly self: InstanceRecord;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** The gRPC server of the process, to which the `Relay` service is added. */
  readonly server: Pick<Server, 'addService'>;
  readonly log: ServiceLog;
}

const TICK_MS = 100;
const MICROSECONDS_PER_MS = 1000;

/**
 * Keeps the service documents and the membership view of a daemon up to date, and relays them to
 * followers while the process is selected as a relay.
 */
export class ConfigService {
  readonly #options: ConfigServiceOptions;

  readonly #client = new RelayClient();

  readonly #node: ConfigNode;

  readonly #server: RelayServer;

  readonly #listeners = new Set<(document: VersionedDocument) => void>();

  readonly #activeSince = new Map<string, number>();

  #self: AnnouncedInstance;

  #timer: NodeJS.Timeout | null = null;

  #loggedState: string | null = null;

  constructor(options: ConfigServiceOptions) {
    const { self, clock, random, server } = options;
    this.#options = options;
    // Increases over restarts of an instance, so that the announcement of a new incarnation
    // overrides the `leaving` of an earlier one.
    const sequence = clock.getWallTime().getTime() * MICROSECONDS_PER_MS;
    this.#self = { record: self, sequence };
    this.#node = new ConfigNode({
      self: this.#self,
      clock,
      random,
      ports: this.#createPorts(),
      onChange: (document) => this.#handleChange(document),
    });
    const node = this.#node;
    this.#server = new RelayServer({ node, clock, getReport: () => this.getReport() });
    server.addService(loadRelayService().service, this.#server.getHandlers());
  }

  /** Starts to follow the store or relays; has no effect when already started. */
  start(): void {
    if (this.#timer !== null) return;
    this.#tick();
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
  }

  /** Ends all streams and the store watch; the latest documents stay readable. */
  stop(): void {
    if (this.#timer !== null) clearInterval(this.#timer);
    this.#timer = null;
    this.#node.stop();
    this.#server.stop();
  }

  /**
   * Calls `listener` after each change of a document; a deletion is a tombstone with `document` null.
   *
   * @returns the function that unsubscribes
   */
  onChange(listener: (document: VersionedDocument) => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  /** Returns the latest document or tombstone of a service; undefined if the service is unknown. */
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

  /** Records contact with a process in `zone` over a connection that is not a relay stream. */
  recordContact(zone: string): void {
    this.#node.follower.recordContact(zone);
  }

  /** Sets the base URL for callers in the announced record. */
  setCallerUrl(callerUrl: string): void {
    this.#announce({ callerUrl });
  }

  /** Announces to relays and followers that this process is leaving. */
  setLeaving(): void {
    this.#announce({ state: 'leaving' });
  }

  /** Returns the report that the operator commands `accept` and `status` fetch. */
  getReport(): RevisionReport {
    const { follower, feed, table } = this.#node;
    const freshness = this.getFreshness();
    const now = this.#options.clock.getNow();
    const lastConfirmationAt = freshness.lastStoreConfirmationAt;
    const lastContactAt = freshness.lastOutsideContactAt;
    const revisions = new Map<string, { revision: number; deleted: boolean; inForceMs: number }>();
    for (const { name, revision, document } of table.listDocuments()) {
      const inForceMs = now - (this.#activeSince.get(name) ?? now);
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
      confirmationAgeMs: lastConfirmationAt === null ? null : now - lastConfirmationAt,
      outsideContactAgeMs: lastContactAt === null ? null : now - lastContactAt,
    };
  }

  #tick(): void {
    this.#node.tick();
    const { state, ready, lastStoreConfirmationAt } = this.getFreshness();
    const stateLabel = ready ? state : 'not_ready';
    if (stateLabel === this.#loggedState) return;
    this.#loggedState = stateLabel;
    const confirmedMsAgo =
      lastStoreConfirmationAt === null
        ? 'never'
        : Math.round(this.#options.clock.getNow() - lastStoreConfirmationAt);
    const fields = { state: stateLabel, confirmedMsAgo };
    if (stateLabel === 'fresh') this.#options.log.report('the configuration is confirmed', fields);
    else this.#options.log.warn('the configuration is not confirmed', fields);
  }

  #announce(change: Partial<InstanceRecord>): void {
    const record = { ...this.#self.record, ...change };
    this.#self = { record, sequence: this.#self.sequence + 1 };
    this.#node.follower.setSelf(this.#self);
  }

  #handleChange(document: VersionedDocument): void {
    const { name, revision } = document;
    this.#activeSince.set(name, this.#options.clock.getNow());
    const sentence = document.document === null ? 'document deleted' : 'document active';
    this.#options.log.report(sentence, { service: name, revision });
    for (const listener of this.#listeners) listener(document);
  }

  #createPorts(): ConfigPorts {
    const { store, instanceList, log } = this.#options;
    return {
      readDocuments: (respond) => {
        void store.readPrefix(servicePrefix).then(respond);
      },
      watchDocuments: (from, listener) => store.watch(servicePrefix, from, listener),
      fetchInstances: (respond) => {
        void instanceList.fetchInstances().then(respond);
      },
      followPeer: (peer, self, known, listener) =>
        this.#client.follow(peer.address, self, known, listener),
      notifyPeer: (peer, self) => this.#client.sendAnnouncement(peer.address, self),
      warn: (sentence, fields) => log.warn(sentence, fields),
    };
  }
}
