import {
  RateGrants,
  combineHashes,
  hashText,
  type Clock,
  type EntryDirectory,
  type RateGrant,
} from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { Timers } from '../ports/Timers.js';

interface SharedRatesOptions {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly ownName: string;
  readonly entries: Pick<EntryDirectory, 'listEntries' | 'isSettled'>;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** @param address `IP:PORT` of the other entry */
  readonly sendToEntry: (message: PeerMessage, address: string) => void;
}

interface Keeper {
  readonly name: string;
  /** Null for this entry. */
  readonly address: string | null;
}

type RateAnswer = Extract<PeerMessage, { kind: 'rate_answer' }>;

/** Most entries that are asked for one request: the keeper of the rate and its deputy. */
const MAX_KEEPERS = 2;

/** A datagram may be lost, so a keeper is asked again before its deputy is. */
const ASKS_PER_KEEPER = 2;

/** Between zones an answer takes about 2 ms; the rest is for a busy keeper. */
const ANSWER_TIMEOUT_MS = 20;

/** An entry that did not answer is not asked for this time. */
const UNRESPONSIVE_MS = 2000;

/** Retry time while no keeper answers or the other entries are not known yet. */
const UNKNOWN_RETRY_MS = 300;

/** Names change only when entries are replaced. */
const MAX_NAME_HASHES = 2048;

/** After this time an entry knows the others, even if further ones keep appearing. */
const START_MS = 3000;

/**
 * Rates that all entries share. One entry keeps each rate and grants the requests of all, so that
 * their sum stays within it however many entries there are; rendezvous hashing chooses it.
 */
export class SharedRates {
  readonly #options: SharedRatesOptions;

  readonly #grants: RateGrants;

  readonly #startMs: number;

  /** Callbacks of unanswered requests to keepers, by id. */
  readonly #pending = new Map<number, (answer: RateAnswer) => void>();

  /** Until when entries that did not answer are not asked, by name, monotonic milliseconds. */
  readonly #unresponsiveUntilMs = new Map<string, number>();

  /** Hashes of entry names, which every request to a limited target needs. */
  readonly #nameHashes = new Map<string, number>();

  #lastId: number;

  constructor(options: SharedRatesOptions) {
    this.#options = options;
    this.#grants = new RateGrants(options.clock);
    this.#startMs = options.clock.getNow();
    // An answer to an earlier process of this entry matches no request of this one.
    this.#lastId = options.clock.getWallTime().getTime();
  }

  /**
   * Asks for one request out of a rate.
   *
   * @param key name of the rate
   * @param perSecond requests a second of all entries together
   */
  async acquire(key: string, perSecond: number): Promise<RateGrant> {
    const { clock, entries, log, metrics } = this.#options;
    const unknown = { isGranted: false, retryAfterMs: UNKNOWN_RETRY_MS };
    // Until the other entries are known, every new entry would take itself for the keeper.
    if (!entries.isSettled() && clock.getNow() - this.#startMs < START_MS) return unknown;
    for (const keeper of this.#listKeepers(key)) {
      if (keeper.address === null) return this.#grants.take(key, perSecond);
      for (let ask = 0; ask < ASKS_PER_KEEPER; ask += 1) {
        const answer = await this.#ask(keeper.address, key, perSecond);
        if (answer !== null) return answer;
      }
      this.#unresponsiveUntilMs.set(keeper.name, clock.getNow() + UNRESPONSIVE_MS);
      metrics.increase('limpetbay_rate_keeper_timeouts_total');
      log.warn('keeper of a shared rate does not answer; asking its deputy', {
        keeper: keeper.name,
        key,
      });
    }
    return unknown;
  }

  /** @param from `IP:PORT` of the sender */
  handlePeerMessage(message: PeerMessage, from: string): void {
    if (message.kind === 'rate_request') {
      const { id, key, perSecond } = message;
      const { isGranted, retryAfterMs } = this.#grants.take(key, perSecond);
      this.#options.sendToEntry({ kind: 'rate_answer', id, isGranted, retryAfterMs }, from);
    } else if (message.kind === 'rate_answer') this.#pending.get(message.id)?.(message);
  }

  /** Forgets rates and entries that no longer matter. */
  expire(): void {
    this.#grants.expire();
    const nowMs = this.#options.clock.getNow();
    for (const [name, untilMs] of this.#unresponsiveUntilMs) {
      if (nowMs >= untilMs) this.#unresponsiveUntilMs.delete(name);
    }
  }

  /** Lists the entries to ask, in order; those that did not answer recently are left out. */
  #listKeepers(key: string): Keeper[] {
    const { ownName, entries } = this.#options;
    const keyHash = hashText(key);
    const keepers: Keeper[] = [];
    const ranks: number[] = [];
    const add = (name: string, address: string | null): void => {
      if (this.#unresponsiveUntilMs.has(name)) return;
      const rank = combineHashes(this.#getNameHash(name), keyHash);
      const position = ranks.findIndex((other) => rank > other);
      if (position < 0 && ranks.length >= MAX_KEEPERS) return;
      const index = position < 0 ? ranks.length : position;
      ranks.splice(index, 0, rank);
      keepers.splice(index, 0, { name, address });
      ranks.length = Math.min(MAX_KEEPERS, ranks.length);
      keepers.length = ranks.length;
    };
    add(ownName, null);
    for (const { name, peerAddress } of entries.listEntries()) {
      if (name !== ownName) add(name, peerAddress);
    }
    return keepers;
  }

  #getNameHash(name: string): number {
    let hash = this.#nameHashes.get(name);
    if (hash !== undefined) return hash;
    if (this.#nameHashes.size >= MAX_NAME_HASHES) this.#nameHashes.clear();
    hash = hashText(name);
    this.#nameHashes.set(name, hash);
    return hash;
  }

  /** Asks a keeper once. @returns null if it did not answer in time */
  #ask(address: string, key: string, perSecond: number): Promise<RateGrant | null> {
    this.#lastId += 1;
    const id = this.#lastId;
    return new Promise((resolve) => {
      const finish = (grant: RateGrant | null): void => {
        this.#pending.delete(id);
        resolve(grant);
      };
      const cancel = this.#options.timers.schedule(ANSWER_TIMEOUT_MS, () => finish(null));
      this.#pending.set(id, (answer) => {
        cancel();
        finish(answer);
      });
      this.#options.sendToEntry({ kind: 'rate_request', id, key, perSecond }, address);
    });
  }
}
