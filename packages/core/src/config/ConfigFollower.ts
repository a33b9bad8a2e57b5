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

/** Relays of each zone that watch the store. */
const WATCHING_PER_ZONE = 3;
/**
 * Mean followers of a relay. A follower costs its relay about 0.15 KB/s for heartbeats and 0.17
 * KB/s for 3,500 changes a day of documents with 256 ranks; a node may use 14 KB/s.
 */
const FOLLOWERS_PER_RELAY = 16;
const LINKS_PER_FOLLOWER = 2;
/** Three missed heartbeats of 500 ms; leaves half of the 3 s for another relay. */
const LINK_SILENCE_MS = 1500;
const FRESH_MS = 3000;
/** A tick or an event this long after the last tick shows that the process was paused. */
const PAUSE_MS = 1000;
/** A process that is no longer chosen relays on, until its followers have moved. */
const RELAY_LINGER_MS = 5000;
/** Failed relays that are tried again at the same time. */
const MAX_PROBES = 2;
const FAILED_BASE_MS = 500;
const FAILED_CAP_MS = 10_000;
const FAILED_MIN_MS = 200;
const LIST_INTERVAL_MS = 2000;
const ASK_INTERVAL_MS = 500;
const ASK_SLOW_INTERVAL_MS = 5000;
/** Peers asked quickly after a restart before the interval grows. */
const QUICK_ASKS = 6;
const ASK_LIMIT_MS = 2000;
/**
 * Direct reads of all processes together when nothing answers them: a quarter of the store's two
 * thousand reads a second.
 */
const CUT_OFF_READS_PER_SECOND = 500;
/** The same while relays answer without a confirmation, which normally is a store outage. */
const STALE_READS_PER_SECOND = 25;
/** Assumed number of processes while no list has arrived: the design size. */
const UNKNOWN_FLEET = 2710;
const READ_WINDOW_MIN_MS = 500;
const READ_WINDOW_CAP_MS = 120_000;
const MS_PER_SECOND = 1000;

/**
 * Keeps a process's documents and membership current: chooses two relays of its zone, becomes a
 * relay when it is chosen itself, and falls back to the store and to any peer.
 */
export class ConfigFollower {
  readonly #options: ConfigFollowerOptions;

  readonly #source: StoreSource;

  readonly #links = new Map<InstanceId, RelayLink>();

  readonly #failed = new Map<InstanceId, FailedPeer>();

  readonly #listBackoff: Backoff;

  #self: AnnouncedInstance;

  /** A relay beside the wanted ones, asked while none of those is confirmed. */
  #spare: InstanceRecord | null = null;

  /** Relays that this process wants to follow, in order of preference. */
  #wanted: InstanceRecord[] = [];

  #isChosen = false;

  #chosenUntil = -Infinity;

  /** What `#wanted` was computed from; -1 asks for a new choice. */
  #chosenVersion = -1;

  #lastTickAt: number;

  readonly #startedAt: number;

  #confirmedAt: number | null = null;

  #outsideContactAt: number | null = null;

  #wasFresh = false;

  #freshSince: number | null = null;

  /**
   * Whether any list of the instances has arrived. Before that every process would take itself for
   * the only one of its zone, and a fleet that starts together would watch the store as a whole.
   */
  #knowsInstances = false;

  #readAt: number | null = null;

  #readSentAt: number | null = null;

  #readAttempts = 0;

  #listAt: number;

  #listSentAt: number | null = null;

  #askAt = 0;

  #asks = 0;

  constructor(options: ConfigFollowerOptions) {
    const { clock, random, ports, table } = options;
    this.#options = options;
    this.#self = options.self;
    this.#source = new StoreSource({ clock, random, ports, table });
    this.#listBackoff = new Backoff({ random, baseMs: READ_WINDOW_MIN_MS, capMs: FAILED_CAP_MS });
    this.#startedAt = clock.getNow();
    this.#lastTickAt = this.#startedAt;
    this.#listAt = this.#startedAt;
    options.membership.acceptStatement(options.self);
  }

  /** Does what is due; call it every 100 ms. */
  tick(): void {
    const now = this.#options.clock.getNow();
    this.#checkPause(now);
    this.#lastTickAt = now;
    this.#closeSilentLinks(now);
    this.#chooseLinks(now);
    this.#openLinks(now);
    this.#source.tick();
    this.#noteConfirmation(this.#source.getConfirmedAt());
    this.#freshSince = this.#isFresh(now) ? (this.#freshSince ?? now) : null;
    this.#askPeers(now);
    this.#readDirectly(now);
    this.#refreshInstances(now);
  }

  /** Closes everything; the known documents stay. */
  stop(): void {
    for (const id of [...this.#links.keys()]) this.#closeLink(id);
    this.#source.stop();
  }

  /** Replaces this process's own record, such as when it begins to leave, and tells its peers. */
  setSelf(self: AnnouncedInstance): void {
    this.#self = self;
    this.#options.membership.acceptStatement(self);
    this.#chosenVersion = -1;
    for (const { peer } of this.#links.values()) this.#options.ports.tellPeer(peer, self);
  }

  /** Records that a process of `zone` was heard outside the configuration's own streams. */
  recordContact(zone: string): void {
    if (zone !== this.#self.record.zone) this.#noteContact(this.#options.clock.getNow());
  }

  /** Tells whether this process is a relay of its zone. */
  isRelay(): boolean {
    return this.#source.isOn();
  }

  /** Tells whether any list of the instances has arrived. */
  hasInstances(): boolean {
    return this.#knowsInstances;
  }

  getConfirmedAt(): number | null {
    return this.#confirmedAt;
  }

  getOutsideContactAt(): number | null {
    return this.#outsideContactAt;
  }

  getFreshness(): ConfigFreshness {
    const now = this.#options.clock.getNow();
    const isFresh = this.#confirmedAt !== null && now - this.#confirmedAt <= FRESH_MS;
    const state = this.#countLive() > 0 ? 'stale' : 'cut_off';
    return {
      state: isFresh ? 'fresh' : state,
      ready: this.#confirmedAt !== null,
      lastStoreConfirmationAt: this.#confirmedAt,
      lastOutsideContactAt: this.#outsideContactAt,
      zoneCount: Math.max(1, this.#options.membership.listZones().length),
    };
  }

  /** Lists the peers that this process follows, with whether they answer. */
  listLinks(): { readonly peer: InstanceRecord; readonly isLive: boolean }[] {
    return [...this.#links.values()].map(({ peer, isLive }) => ({ peer, isLive }));
  }

  /**
   * After a pause the sockets may hold old events that look new, so all streams are opened again
   * and only what they then say counts. The known documents stay: a lower revision never wins.
   */
  #checkPause(now: number): boolean {
    if (now - this.#lastTickAt < PAUSE_MS) return false;
    this.#options.ports.warn('the process was paused; opening all streams again', {
      pausedMs: Math.round(now - this.#lastTickAt),
    });
    this.#lastTickAt = now;
    for (const id of [...this.#links.keys()]) this.#closeLink(id);
    this.#source.restart();
    return true;
  }

  #noteConfirmation(at: number | null): void {
    if (at === null || at <= (this.#confirmedAt ?? -Infinity)) return;
    this.#confirmedAt = at;
    if (this.#options.clock.getNow() - at > FRESH_MS) return;
    this.#wasFresh = true;
    this.#readAt = null;
    this.#readAttempts = 0;
  }

  #noteInstances(): void {
    if (!this.#knowsInstances) this.#chosenVersion = -1;
    this.#knowsInstances = true;
  }

  #noteContact(at: number): void {
    this.#outsideContactAt = Math.max(this.#outsideContactAt ?? -Infinity, at);
  }

  #isFresh(now: number): boolean {
    return this.#confirmedAt !== null && now - this.#confirmedAt <= FRESH_MS;
  }

  #countLive(): number {
    let count = 0;
    for (const link of this.#links.values()) if (link.isLive) count += 1;
    return count;
  }

  #closeSilentLinks(now: number): void {
    for (const [id, link] of [...this.#links]) {
      if (link.kind === 'peer' && now - link.openedAt >= ASK_LIMIT_MS) this.#closeLink(id);
      else if (now - link.lastHeardAt >= LINK_SILENCE_MS) this.#failLink(id);
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
      const backoff = new Backoff({ random, baseMs: FAILED_BASE_MS, capMs: FAILED_CAP_MS });
      failed = { backoff, retryAt: 0 };
      this.#failed.set(id, failed);
      this.#chosenVersion = -1;
    }
    failed.retryAt = clock.getNow() + FAILED_MIN_MS + failed.backoff.next();
  }

  /** Chooses the relays to follow, and whether this process is one itself. */
  #chooseLinks(now: number): void {
    const { membership } = this.#options;
    const isUnchanged = this.#chosenVersion === membership.getVersion();
    if (!isUnchanged) {
      this.#chosenVersion = membership.getVersion();
      this.#forgetFailed();
      this.#choose();
    }
    if (this.#isChosen) this.#chosenUntil = now + RELAY_LINGER_MS;
    if (this.#isChosen) this.#source.start();
    else if (now >= this.#chosenUntil) this.#source.stop();
  }

  #forgetFailed(): void {
    for (const id of this.#failed.keys()) {
      if (this.#options.membership.getInstance(id) === undefined) this.#failed.delete(id);
    }
  }

  #choose(): void {
    const { record } = this.#self;
    const { membership } = this.#options;
    const relays = this.#chooseZoneRelays();
    const watching = relays.slice(0, WATCHING_PER_ZONE);
    this.#isChosen = this.#knowsInstances && watching.some(({ id }) => id === record.id);
    const isRelay = relays.some(({ id }) => id === record.id);
    const forwarding = relays.slice(WATCHING_PER_ZONE);
    const candidates = isRelay || forwarding.length === 0 ? watching : forwarding;
    const others = this.#orderForSelf(candidates.filter((relay) => relay.id !== record.id));
    if (!this.#isChosen) {
      this.#wanted = others.slice(0, LINKS_PER_FOLLOWER);
      this.#spare = others[LINKS_PER_FOLLOWER] ?? null;
      return;
    }
    // A relay follows one relay of its own zone and one of each of two others: the next zone by
    // name, so that the zones form a ring that every statement passes, and one by score.
    this.#wanted = others.slice(0, 1);
    const zones = membership.listZones();
    const next = zones[(zones.indexOf(record.zone) + 1) % zones.length];
    const rest = zones.filter((zone) => zone !== record.zone && zone !== next);
    rest.sort((left, right) => scoreRelay(record.id, right) - scoreRelay(record.id, left));
    if (next !== undefined && next !== record.zone) rest.unshift(next);
    for (const zone of rest) {
      // Only the first relays of another zone are tried: the next zone takes the place of one
      // that has failed as a whole.
      const outside = chooseRelays(zone, membership.listZone(zone), WATCHING_PER_ZONE);
      const relay = this.#orderForSelf(outside).find(({ id }) => !this.#failed.has(id));
      if (relay !== undefined) this.#wanted.push(relay);
      if (this.#wanted.length > LINKS_PER_FOLLOWER) break;
    }
  }

  /**
   * The relays of the own zone, without those that failed this process. The first ones watch the
   * store; in a large zone more follow those, so that none has more followers than its share of
   * the network allows.
   */
  #chooseZoneRelays(): InstanceRecord[] {
    const { zone } = this.#self.record;
    const instances = this.#options.membership.listZone(zone);
    const links = instances.length * LINKS_PER_FOLLOWER;
    const needed = Math.ceil(links / FOLLOWERS_PER_RELAY);
    const count = needed < 2 * WATCHING_PER_ZONE ? WATCHING_PER_ZONE : needed;
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
    this.#probeFailed(now);
    this.#closeUnwanted(now);
  }

  /** While no relay is confirmed, one more relay shows whether only those followed lag. */
  #openSpareLink(now: number): void {
    if (this.#isChosen || this.#isFresh(now) || this.#countLive() === 0) return;
    if (this.#spare !== null) this.#openLink(this.#spare, 'relay', now);
  }

  /** A relay that failed is chosen again only after it has answered. */
  #probeFailed(now: number): void {
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

  #closeUnwanted(now: number): void {
    const wanted = new Set(this.#wanted.map(({ id }) => id));
    let live = 0;
    for (const [id, link] of this.#links) if (wanted.has(id) && link.isLive) live += 1;
    if (live < Math.min(this.#wanted.length, LINKS_PER_FOLLOWER) || !this.#isFresh(now)) return;
    for (const [id, link] of [...this.#links]) {
      if (link.kind === 'relay' && link.isLive && !wanted.has(id)) this.#closeLink(id);
      // Another source is fresh, so this relay has lost the store although it still answers.
      else if (link.isLive && this.#isLagging(link, now)) this.#failLink(id);
    }
  }

  /**
   * Compared with the best source: at the start of an outage all sources grow old together, and at
   * its end each needs a moment to return.
   */
  #isLagging(link: RelayLink, now: number): boolean {
    if (link.kind === 'peer' || now - link.openedAt < FRESH_MS) return false;
    if (this.#freshSince === null || now - this.#freshSince < FRESH_MS) return false;
    return this.#isBehind(link);
  }

  #isBehind(link: RelayLink): boolean {
    return (this.#confirmedAt ?? -Infinity) - (link.confirmedAt ?? -Infinity) > FRESH_MS;
  }

  #openLink(peer: InstanceRecord, kind: RelayLink['kind'], now: number): void {
    if (peer.id === this.#self.record.id || this.#links.has(peer.id)) return;
    const { ports, table } = this.#options;
    const link = new RelayLink(peer, kind, now);
    this.#links.set(peer.id, link);
    const close = ports.followPeer(peer, this.#self, table.getRevisions(), {
      acceptEvent: (event) => {
        if (this.#links.get(peer.id) === link) this.#acceptEvent(link, event);
      },
      acceptEnd: () => {
        if (this.#links.get(peer.id) === link) this.#failLink(peer.id);
      },
    });
    link.setClose(close);
  }

  #acceptEvent(link: RelayLink, event: RelayEvent): void {
    const now = this.#options.clock.getNow();
    if (this.#checkPause(now)) return;
    link.recordHeard(now);
    if (link.peer.zone !== this.#self.record.zone) this.#noteContact(now);
    if (event.kind === 'document') this.#options.table.apply(event.document);
    else if (event.kind === 'instances') this.#acceptInstances(event);
    else this.#acceptHeartbeat(link, event, now);
  }

  #acceptInstances(event: Extract<RelayEvent, { kind: 'instances' }>): void {
    const { membership } = this.#options;
    membership.applyChanges(event);
    this.#noteInstances();
    membership.acceptStatement(this.#self);
  }

  #acceptHeartbeat(
    link: RelayLink,
    event: Extract<RelayEvent, { kind: 'heartbeat' }>,
    now: number,
  ): void {
    const { peer } = link;
    const age = event.confirmationAgeMs;
    link.recordHeartbeat(age === null ? null : now - age);
    this.#noteConfirmation(link.confirmedAt);
    if (this.#failed.has(peer.id)) {
      // A relay that answers but still lags stays failed, and is asked again later.
      if (this.#isFresh(now) && this.#isBehind(link)) {
        this.#failLink(peer.id);
        return;
      }
      this.#failed.delete(peer.id);
      this.#chosenVersion = -1;
    }
    if (event.outsideContactAgeMs !== null && peer.zone === this.#self.record.zone) {
      this.#noteContact(now - event.outsideContactAgeMs);
    }
    if (link.kind === 'peer') this.#closeLink(peer.id);
  }

  /** Asks random processes for their documents after a restart while nothing is confirmed. */
  #askPeers(now: number): void {
    if (this.#wasFresh || now < this.#askAt || now - this.#startedAt < ASK_INTERVAL_MS) return;
    const { membership, random } = this.#options;
    this.#askAt = now + (this.#asks < QUICK_ASKS ? ASK_INTERVAL_MS : ASK_SLOW_INTERVAL_MS);
    const instances = membership.listInstances();
    const peer = instances[Math.floor(random.next() * instances.length)];
    if (peer === undefined) return;
    this.#asks += 1;
    this.#openLink(peer, 'peer', now);
  }

  /** Reads the store once nothing has confirmed the documents for too long. */
  #readDirectly(now: number): void {
    if (this.#isFresh(now) || this.#source.isOn()) {
      this.#readAt = null;
      return;
    }
    if (this.#readSentAt !== null || this.#isStarting(now)) return;
    if (this.#readAt === null) {
      this.#readAt = now + this.#options.random.next() * this.#getReadWindowMs();
    }
    if (now < this.#readAt) return;
    this.#readAt = null;
    this.#readAttempts += 1;
    this.#readSentAt = now;
    this.#options.ports.readDocuments((answer) => {
      this.#readSentAt = null;
      if (answer.err) return;
      this.#source.applyRead(answer.val.records, answer.val.revision, now);
      this.#noteConfirmation(now);
    });
  }

  /** The first moments of a process belong to its relays. */
  #isStarting(now: number): boolean {
    return now - this.#startedAt < LINK_SILENCE_MS;
  }

  /**
   * The window over which this process spreads its next direct read. It grows with the fleet, so
   * that the calls of all processes together stay below a fixed rate whatever the fleet's size.
   */
  #getReadWindowMs(): number {
    const rate = this.#countLive() > 0 ? STALE_READS_PER_SECOND : CUT_OFF_READS_PER_SECOND;
    const known = this.#options.membership.countInstances();
    const fleet = this.#knowsInstances ? known : UNKNOWN_FLEET;
    const window = Math.max(READ_WINDOW_MIN_MS, (fleet * MS_PER_SECOND) / rate);
    return Math.min(READ_WINDOW_CAP_MS, window * 2 ** Math.min(this.#readAttempts, 4));
  }

  /** A relay reads the instance list regularly, any other process while no relay answers. */
  #refreshInstances(now: number): void {
    if (this.#listSentAt !== null || now < this.#listAt) return;
    if (!this.#source.isOn() && this.#countLive() > 0) return;
    const { ports, membership, random, clock } = this.#options;
    this.#listSentAt = now;
    ports.fetchInstances((answer) => {
      this.#listSentAt = null;
      const later = clock.getNow();
      if (answer.err) {
        this.#listAt = later + this.#listBackoff.next();
        return;
      }
      this.#listBackoff.reset();
      this.#listAt = later + LIST_INTERVAL_MS * (0.5 + random.next() / 2);
      membership.applyList(answer.val);
      this.#noteInstances();
      membership.acceptStatement(this.#self);
    });
  }
}
