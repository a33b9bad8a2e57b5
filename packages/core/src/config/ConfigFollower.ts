import type { Clock } from '../clock/Clock.js';
import type { InstanceId } from '../ids/InstanceId.js';
import type { AnnouncedInstance } from '../membership/AnnouncedInstance.js';
import type { InstanceRecord } from '../membership/InstanceRecord.js';
import type { Membership } from '../membership/Membership.js';
import type { RandomSource } from '../random/RandomSource.js';
import { Backoff } from './Backoff.js';
import type { ConfigFreshness } from './ConfigFreshness.js';
import type { ConfigPorts } from './ConfigPorts.js';
import type { DocumentTable } from './DocumentTable.js';
import type { RelayEvent } from './RelayEvent.js';
import { RelayLink } from './RelayLink.js';
import { StoreSource } from './StoreSource.js';
import { chooseRelays } from './chooseRelays.js';
import { scoreRelay } from './scoreRelay.js';

interface ConfigFollowerOptions {
  readonly self: AnnouncedInstance;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ports: ConfigPorts;
  readonly table: DocumentTable;
  readonly membership: Membership;
}

interface FailedPeer {
  readonly backoff: Backoff;
  retryAt: number;
}

/** Number of relays of each zone that watch the store. */
const STORE_WATCHERS_PER_ZONE = 3;
/**
 * Mean number of followers of a relay. Each follower costs its relay about 0.15 KB/s for heartbeats
 * and 0.17 KB/s for 3,500 changes a day of documents with 256 ranks; a node may use 14 KB/s.
 */
const FOLLOWERS_PER_RELAY = 16;
const LINKS_PER_FOLLOWER = 2;
/**
 * Three missed heartbeats of 500 ms; leaves half of `MAX_FRESH_AGE_MS` to switch to another relay.
 */
const LINK_TIMEOUT_MS = 1500;
/** Maximum age of the last confirmation while the configuration counts as fresh. */
const MAX_FRESH_AGE_MS = 3000;
/** A tick or event this long after the last tick means that the process was paused. */
const PAUSE_THRESHOLD_MS = 1000;
/** A relay that is no longer selected continues for this long, so that its followers can switch. */
const RELAY_LINGER_MS = 5000;
/** Maximum number of failed relays that are probed at the same time. */
const MAX_PROBES = 2;
const RETRY_BASE_MS = 500;
const RETRY_CAP_MS = 10_000;
const RETRY_MIN_MS = 200;
const INSTANCE_LIST_INTERVAL_MS = 2000;
const QUERY_DELAY_MS = 500;
const SLOW_QUERY_DELAY_MS = 5000;
/** Queries after a restart that use the short delay; later ones use the slow one. */
const QUICK_QUERIES = 6;
const QUERY_TIMEOUT_MS = 2000;
/**
 * Total rate of direct reads by all processes while no relay answers: a quarter of the store's
 * 2,000 reads a second.
 */
const CUT_OFF_READS_PER_SECOND = 500;
/** The same while relays answer without a confirmation, which usually means a store outage. */
const STALE_READS_PER_SECOND = 25;
/** Assumed number of processes until an instance list arrives: the design size. */
const DEFAULT_FLEET_SIZE = 2710;
const READ_WINDOW_MIN_MS = 500;
const READ_WINDOW_CAP_MS = 120_000;
const MS_PER_SECOND = 1000;

/**
 * Keeps a process's documents and membership current. Follows two relays of its zone, becomes a
 * relay when it is selected as one, and falls back to reading the store and to querying any peer.
 */
export class ConfigFollower {
  readonly #options: ConfigFollowerOptions;

  readonly #source: StoreSource;

  readonly #links = new Map<InstanceId, RelayLink>();

  readonly #failed = new Map<InstanceId, FailedPeer>();

  readonly #listBackoff: Backoff;

  #self: AnnouncedInstance;

  /** A further relay, followed while none of the wanted ones is confirmed. */
  #spareRelay: InstanceRecord | null = null;

  /** Relays that this process should follow, in order of preference. */
  #wanted: InstanceRecord[] = [];

  /** Whether this process is selected as a relay that watches the store. */
  #isSelected = false;

  #relayUntil = -Infinity;

  /** Membership version from which `#wanted` was computed; -1 forces a new selection. */
  #selectionVersion = -1;

  #lastTickAt: number;

  readonly #startedAt: number;

  #confirmedAt: number | null = null;

  #outsideContactAt: number | null = null;

  #wasFresh = false;

  #freshSince: number | null = null;

  /**
   * Whether any instance list has arrived. Without one, every process would consider itself the
   * only one of its zone, and all processes of a fleet that starts together would watch the store.
   */
  #hasInstanceList = false;

  #nextReadAt: number | null = null;

  #readSentAt: number | null = null;

  #readAttempts = 0;

  #nextListAt: number;

  #listSentAt: number | null = null;

  #nextQueryAt = 0;

  #queryCount = 0;

  constructor(options: ConfigFollowerOptions) {
    const { clock, random, ports, table } = options;
    this.#options = options;
    this.#self = options.self;
    this.#source = new StoreSource({ clock, random, ports, table });
    this.#listBackoff = new Backoff({ random, baseMs: READ_WINDOW_MIN_MS, capMs: RETRY_CAP_MS });
    this.#startedAt = clock.getNow();
    this.#lastTickAt = this.#startedAt;
    this.#nextListAt = this.#startedAt;
    options.membership.handleAnnouncement(options.self);
  }

  /** Runs timeouts, relay selection and due calls; call it every 100 ms. */
  tick(): void {
    const now = this.#options.clock.getNow();
    this.#checkPause(now);
    this.#lastTickAt = now;
    this.#closeStalledLinks(now);
    this.#updateSelection(now);
    this.#openLinks(now);
    this.#source.tick();
    this.#recordConfirmation(this.#source.getConfirmedAt());
    this.#freshSince = this.#isFresh(now) ? (this.#freshSince ?? now) : null;
    this.#queryPeers(now);
    this.#readDirectly(now);
    this.#refreshInstances(now);
  }

  /** Closes all streams and the watch; the documents are kept. */
  stop(): void {
    for (const id of [...this.#links.keys()]) this.#closeLink(id);
    this.#source.stop();
  }

  /**
   * Replaces this process's own record, for example when it starts leaving, and notifies its peers.
   */
  setSelf(self: AnnouncedInstance): void {
    this.#self = self;
    this.#options.membership.handleAnnouncement(self);
    this.#selectionVersion = -1;
    for (const { peer } of this.#links.values()) this.#options.ports.notifyPeer(peer, self);
  }

  /** Records a message from a process of `zone` that arrived outside the configuration streams. */
  recordContact(zone: string): void {
    if (zone !== this.#self.record.zone) this.#recordOutsideContact(this.#options.clock.getNow());
  }

  /** Returns whether this process is a relay of its zone. */
  isRelay(): boolean {
    return this.#source.isActive();
  }

  /** Returns whether any instance list has arrived. */
  hasInstanceList(): boolean {
    return this.#hasInstanceList;
  }

  getConfirmedAt(): number | null {
    return this.#confirmedAt;
  }

  getOutsideContactAt(): number | null {
    return this.#outsideContactAt;
  }

  getFreshness(): ConfigFreshness {
    const now = this.#options.clock.getNow();
    const isFresh = this.#confirmedAt !== null && now - this.#confirmedAt <= MAX_FRESH_AGE_MS;
    const state = this.#countLiveLinks() > 0 ? 'stale' : 'cut_off';
    return {
      state: isFresh ? 'fresh' : state,
      ready: this.#confirmedAt !== null,
      lastStoreConfirmationAt: this.#confirmedAt,
      lastOutsideContactAt: this.#outsideContactAt,
      zoneCount: Math.max(1, this.#options.membership.listZones().length),
    };
  }

  /** Lists the peers that this process follows; `isLive` once a peer has sent a heartbeat. */
  listLinks(): { readonly peer: InstanceRecord; readonly isLive: boolean }[] {
    return [...this.#links.values()].map(({ peer, isLive }) => ({ peer, isLive }));
  }

  /**
   * Reopens all streams after a pause, because the sockets may hold old events that look new. The
   * documents are kept, because a lower revision never replaces a higher one.
   *
   * @returns whether the process was paused
   */
  #checkPause(now: number): boolean {
    if (now - this.#lastTickAt < PAUSE_THRESHOLD_MS) return false;
    this.#options.ports.warn('the process was paused; reopening all streams', {
      pausedMs: Math.round(now - this.#lastTickAt),
    });
    this.#lastTickAt = now;
    for (const id of [...this.#links.keys()]) this.#closeLink(id);
    this.#source.restart();
    return true;
  }

  #recordConfirmation(at: number | null): void {
    if (at === null || at <= (this.#confirmedAt ?? -Infinity)) return;
    this.#confirmedAt = at;
    if (this.#options.clock.getNow() - at > MAX_FRESH_AGE_MS) return;
    this.#wasFresh = true;
    this.#nextReadAt = null;
    this.#readAttempts = 0;
  }

  #recordInstanceList(): void {
    if (!this.#hasInstanceList) this.#selectionVersion = -1;
    this.#hasInstanceList = true;
  }

  #recordOutsideContact(at: number): void {
    this.#outsideContactAt = Math.max(this.#outsideContactAt ?? -Infinity, at);
  }

  #isFresh(now: number): boolean {
    return this.#confirmedAt !== null && now - this.#confirmedAt <= MAX_FRESH_AGE_MS;
  }

  #countLiveLinks(): number {
    let count = 0;
    for (const link of this.#links.values()) if (link.isLive) count += 1;
    return count;
  }

  #closeStalledLinks(now: number): void {
    for (const [id, link] of [...this.#links]) {
      if (link.kind === 'peer' && now - link.openedAt >= QUERY_TIMEOUT_MS) this.#closeLink(id);
      else if (now - link.lastEventAt >= LINK_TIMEOUT_MS) this.#failLink(id);
    }
  }

  #closeLink(id: InstanceId): void {
    const link = this.#links.get(id);
    if (link === undefined) return;
    this.#links.delete(id);
    link.close();
  }

  #failLink(id: InstanceId): void {
    const link = this.#links.get(id);
    this.#closeLink(id);
    if (link === undefined || link.kind === 'peer') return;
    const { random, clock } = this.#options;
    let failed = this.#failed.get(id);
    if (failed === undefined) {
      const backoff = new Backoff({ random, baseMs: RETRY_BASE_MS, capMs: RETRY_CAP_MS });
      failed = { backoff, retryAt: 0 };
      this.#failed.set(id, failed);
      this.#selectionVersion = -1;
    }
    failed.retryAt = clock.getNow() + RETRY_MIN_MS + failed.backoff.next();
  }

  /**
   * Selects the relays to follow when the membership changed, and starts or stops acting as a
   * relay.
   */
  #updateSelection(now: number): void {
    const { membership } = this.#options;
    const isUnchanged = this.#selectionVersion === membership.getVersion();
    if (!isUnchanged) {
      this.#selectionVersion = membership.getVersion();
      this.#removeDepartedPeers();
      this.#selectRelays();
    }
    if (this.#isSelected) this.#relayUntil = now + RELAY_LINGER_MS;
    if (this.#isSelected) this.#source.start();
    else if (now >= this.#relayUntil) this.#source.stop();
  }

  #removeDepartedPeers(): void {
    for (const id of this.#failed.keys()) {
      if (this.#options.membership.getInstance(id) === undefined) this.#failed.delete(id);
    }
  }

  #selectRelays(): void {
    const { record } = this.#self;
    const { membership } = this.#options;
    const relays = this.#selectZoneRelays();
    const watching = relays.slice(0, STORE_WATCHERS_PER_ZONE);
    this.#isSelected = this.#hasInstanceList && watching.some(({ id }) => id === record.id);
    const isRelay = relays.some(({ id }) => id === record.id);
    const forwarding = relays.slice(STORE_WATCHERS_PER_ZONE);
    const candidates = isRelay || forwarding.length === 0 ? watching : forwarding;
    const otherRelays = this.#orderForSelf(candidates.filter((relay) => relay.id !== record.id));
    if (!this.#isSelected) {
      this.#wanted = otherRelays.slice(0, LINKS_PER_FOLLOWER);
      this.#spareRelay = otherRelays[LINKS_PER_FOLLOWER] ?? null;
      return;
    }
    // A relay follows one relay of its own zone and one in each of two other zones: the zone after
    // its own by name, so that the zones form a ring through which every statement spreads, and the
    // best remaining zone by score.
    this.#wanted = otherRelays.slice(0, 1);
    const zones = membership.listZones();
    const nextZone = zones[(zones.indexOf(record.zone) + 1) % zones.length];
    const otherZones = zones.filter((zone) => zone !== record.zone && zone !== nextZone);
    otherZones.sort((left, right) => scoreRelay(record.id, right) - scoreRelay(record.id, left));
    if (nextZone !== undefined && nextZone !== record.zone) otherZones.unshift(nextZone);
    for (const zone of otherZones) {
      // Only the store watchers of another zone are tried. If all of them have failed, the
      // following zone is used instead.
      const outside = chooseRelays(zone, membership.listZone(zone), STORE_WATCHERS_PER_ZONE);
      const relay = this.#orderForSelf(outside).find(({ id }) => !this.#failed.has(id));
      if (relay !== undefined) this.#wanted.push(relay);
      if (this.#wanted.length > LINKS_PER_FOLLOWER) break;
    }
  }

  /**
   * Returns the relays of the own zone, without those marked as failed. The first ones watch the
   * store. A large zone has further relays that follow the first ones, so that no relay has more
   * followers than its network share allows.
   */
  #selectZoneRelays(): InstanceRecord[] {
    const { zone } = this.#self.record;
    const instances = this.#options.membership.listZone(zone);
    const links = instances.length * LINKS_PER_FOLLOWER;
    const needed = Math.ceil(links / FOLLOWERS_PER_RELAY);
    const count = needed < 2 * STORE_WATCHERS_PER_ZONE ? STORE_WATCHERS_PER_ZONE : needed;
    if (this.#failed.size === 0) return chooseRelays(zone, instances, count);
    const usable = instances.filter((instance) => !this.#failed.has(instance.id));
    return chooseRelays(zone, usable, count);
  }

  #orderForSelf(relays: readonly InstanceRecord[]): InstanceRecord[] {
    return chooseRelays(this.#self.record.id, relays, relays.length);
  }

  #openLinks(now: number): void {
    for (const peer of this.#wanted) this.#openLink(peer, 'relay', now);
    this.#openSpareLink(now);
    this.#probeFailedRelays(now);
    this.#closeUnwantedLinks(now);
  }

  /**
   * Follows one more relay while none is confirmed, to find out whether only the followed ones lag.
   */
  #openSpareLink(now: number): void {
    if (this.#isSelected || this.#isFresh(now) || this.#countLiveLinks() === 0) return;
    if (this.#spareRelay !== null) this.#openLink(this.#spareRelay, 'relay', now);
  }

  /** Probes failed relays, because a failed relay is selected again only after it has answered. */
  #probeFailedRelays(now: number): void {
    let probes = 0;
    for (const [id, failed] of this.#failed) {
      const peer = this.#options.membership.getInstance(id);
      if (this.#links.has(id)) probes += 1;
      else if (peer !== undefined && now >= failed.retryAt) {
        this.#openLink(peer, 'relay', now);
        probes += 1;
      }
      if (probes >= MAX_PROBES) return;
    }
  }

  #closeUnwantedLinks(now: number): void {
    const wanted = new Set(this.#wanted.map(({ id }) => id));
    let live = 0;
    for (const [id, link] of this.#links) if (wanted.has(id) && link.isLive) live += 1;
    if (live < Math.min(this.#wanted.length, LINKS_PER_FOLLOWER) || !this.#isFresh(now)) return;
    for (const [id, link] of [...this.#links]) {
      if (link.kind === 'relay' && link.isLive && !wanted.has(id)) this.#closeLink(id);
      // Another source is fresh, so this relay has lost contact with the store but still answers.
      else if (link.isLive && this.#isLagging(link, now)) this.#failLink(id);
    }
  }

  /**
   * Compares with the best source, because all confirmations age together in a store outage.
   * Ignores the first `MAX_FRESH_AGE_MS` after this process is fresh again, because the relays
   * recover from an outage at different times.
   */
  #isLagging(link: RelayLink, now: number): boolean {
    if (link.kind === 'peer' || now - link.openedAt < MAX_FRESH_AGE_MS) return false;
    if (this.#freshSince === null || now - this.#freshSince < MAX_FRESH_AGE_MS) return false;
    return this.#isBehind(link);
  }

  #isBehind(link: RelayLink): boolean {
    return (this.#confirmedAt ?? -Infinity) - (link.confirmedAt ?? -Infinity) > MAX_FRESH_AGE_MS;
  }

  #openLink(peer: InstanceRecord, kind: RelayLink['kind'], now: number): void {
    if (peer.id === this.#self.record.id || this.#links.has(peer.id)) return;
    const { ports, table } = this.#options;
    const link = new RelayLink(peer, kind, now);
    this.#links.set(peer.id, link);
    const close = ports.followPeer(peer, this.#self, table.getRevisions(), {
      onEvent: (event) => {
        if (this.#links.get(peer.id) === link) this.#handleEvent(link, event);
      },
      onEnd: () => {
        if (this.#links.get(peer.id) === link) this.#failLink(peer.id);
      },
    });
    link.setClose(close);
  }

  #handleEvent(link: RelayLink, event: RelayEvent): void {
    const now = this.#options.clock.getNow();
    if (this.#checkPause(now)) return;
    link.recordEvent(now);
    if (link.peer.zone !== this.#self.record.zone) this.#recordOutsideContact(now);
    if (event.kind === 'document') this.#options.table.apply(event.document);
    else if (event.kind === 'instances') this.#handleInstances(event);
    else this.#handleHeartbeat(link, event, now);
  }

  #handleInstances(event: Extract<RelayEvent, { kind: 'instances' }>): void {
    const { membership } = this.#options;
    membership.applyChanges(event);
    this.#recordInstanceList();
    membership.handleAnnouncement(this.#self);
  }

  #handleHeartbeat(
    link: RelayLink,
    event: Extract<RelayEvent, { kind: 'heartbeat' }>,
    now: number,
  ): void {
    const { peer } = link;
    const age = event.confirmationAgeMs;
    link.recordHeartbeat(age === null ? null : now - age);
    this.#recordConfirmation(link.confirmedAt);
    if (this.#failed.has(peer.id)) {
      // A relay that answers but still lags stays failed, and is probed again later.
      if (this.#isFresh(now) && this.#isBehind(link)) {
        this.#failLink(peer.id);
        return;
      }
      this.#failed.delete(peer.id);
      this.#selectionVersion = -1;
    }
    if (event.outsideContactAgeMs !== null && peer.zone === this.#self.record.zone) {
      this.#recordOutsideContact(now - event.outsideContactAgeMs);
    }
    if (link.kind === 'peer') this.#closeLink(peer.id);
  }

  /**
   * Queries random processes for their documents after a restart, until a confirmation is fresh.
   */
  #queryPeers(now: number): void {
    if (this.#wasFresh || now < this.#nextQueryAt || now - this.#startedAt < QUERY_DELAY_MS) return;
    const { membership, random } = this.#options;
    this.#nextQueryAt =
      now + (this.#queryCount < QUICK_QUERIES ? QUERY_DELAY_MS : SLOW_QUERY_DELAY_MS);
    const instances = membership.listInstances();
    const peer = instances[Math.floor(random.next() * instances.length)];
    if (peer === undefined) return;
    this.#queryCount += 1;
    this.#openLink(peer, 'peer', now);
  }

  /**
   * Reads the store directly while this process is not fresh and does not watch the store itself.
   */
  #readDirectly(now: number): void {
    if (this.#isFresh(now) || this.#source.isActive()) {
      this.#nextReadAt = null;
      return;
    }
    if (this.#readSentAt !== null || this.#isStarting(now)) return;
    if (this.#nextReadAt === null) {
      this.#nextReadAt = now + this.#options.random.next() * this.#getReadWindowMs();
    }
    if (now < this.#nextReadAt) return;
    this.#nextReadAt = null;
    this.#readAttempts += 1;
    this.#readSentAt = now;
    this.#options.ports.readDocuments((answer) => {
      this.#readSentAt = null;
      if (answer.err) return;
      this.#source.applyRead(answer.val, now);
      this.#recordConfirmation(now);
    });
  }

  /** Whether the process has just started, so that its relays get time to answer first. */
  #isStarting(now: number): boolean {
    return now - this.#startedAt < LINK_TIMEOUT_MS;
  }

  /**
   * Returns the window over which this process spreads its next direct read. It grows with the
   * fleet, so that the reads of all processes together stay below a fixed rate for any fleet size.
   */
  #getReadWindowMs(): number {
    const rate = this.#countLiveLinks() > 0 ? STALE_READS_PER_SECOND : CUT_OFF_READS_PER_SECOND;
    const count = this.#options.membership.countInstances();
    const fleetSize = this.#hasInstanceList ? count : DEFAULT_FLEET_SIZE;
    const window = Math.max(READ_WINDOW_MIN_MS, (fleetSize * MS_PER_SECOND) / rate);
    return Math.min(READ_WINDOW_CAP_MS, window * 2 ** Math.min(this.#readAttempts, 4));
  }

  /**
   * A relay reads the instance list periodically, any other process only while no relay answers.
   */
  #refreshInstances(now: number): void {
    if (this.#listSentAt !== null || now < this.#nextListAt) return;
    if (!this.#source.isActive() && this.#countLiveLinks() > 0) return;
    const { ports, membership, random, clock } = this.#options;
    this.#listSentAt = now;
    ports.fetchInstances((answer) => {
      this.#listSentAt = null;
      const answeredAt = clock.getNow();
      if (answer.err) {
        this.#nextListAt = answeredAt + this.#listBackoff.next();
        return;
      }
      this.#listBackoff.reset();
      this.#nextListAt = answeredAt + INSTANCE_LIST_INTERVAL_MS * (0.5 + random.next() / 2);
      membership.applyList(answer.val);
      this.#recordInstanceList();
      membership.handleAnnouncement(this.#self);
    });
  }
}
