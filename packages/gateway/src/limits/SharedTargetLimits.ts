import {
  buildRunName,
  decodeJson,
  type Clock,
  type DirectTarget,
  type RandomSource,
  type Store,
  type StoreRecord,
  type TargetRegistry,
} from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import type { IgnoredRecordLog, Log } from '@limpetbay/runtime';
import { computeSaveDelay } from '../feed/computeSaveDelay.js';
import type { MirrorSnapshot } from '../feed/MirrorSnapshot.js';
import type { Timers } from '../ports/Timers.js';
import type { SharedRates } from '../rates/SharedRates.js';
import { StoredLimit } from './StoredLimit.js';

interface SharedTargetLimitsOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly timers: Timers;
  readonly store: Store;
  /** Prefix of the store keys of limits. */
  readonly prefix: string;
  readonly registry: Pick<TargetRegistry, 'get'>;
  readonly rates: SharedRates;
  readonly log: Log;
  readonly ignored: IgnoredRecordLog;
  /** Returns the place of this entry among those that save the same key; 0 is first. */
  readonly rankSelf: (key: string) => number;
  /** Sends a message to all other entries, without confirmation of delivery. */
  readonly sendToEntries: (message: PeerMessage) => void;
}

interface NamedLimit {
  readonly targetId: string;
  /** Requests a second that the target takes from all entries together. */
  perSecond: number;
  /** When an answer or another entry told it, monotonic milliseconds; -Infinity for the store. */
  learnedMs: number;
  /** Until when the target takes no further request of this entry, monotonic milliseconds. */
  exhaustedUntilMs: number;
}

/** A limit that changes with every answer is announced at this interval. */
const ANNOUNCE_INTERVAL_MS = 1000;

/** Changes in the store may be older than what answers told within this time. */
const STORE_DELAY_MS = 1500;

/** Limits of targets that are gone are kept for this time, because registrations may lapse. */
const GONE_RETENTION_MS = 10_000;

/** Upper bound of the random delay before a record of a target that is gone is removed. */
const MAX_REMOVAL_DELAY_MS = 20_000;

const SAVE_RETRY_MS = 300;

/** Retry time where no target has told one. */
const DEFAULT_RETRY_MS = 300;

/** Least time after which a target is asked for again. */
const MIN_RETRY_MS = 20;

/**
 * The limits that targets name in their answers. Entries tell each other by datagrams and, for
 * those that start later, through the store; requests to a limited target need a grant.
 */
export class SharedTargetLimits {
  readonly #options: SharedTargetLimitsOptions;

  /** Limits by run of a target. */
  readonly #limits = new Map<string, NamedLimit>();

  /** Stored values of limits by run. */
  readonly #stored = new Map<string, string>();

  readonly #saving = new Set<string>();

  /** When changes were last announced, by run, monotonic milliseconds. */
  readonly #announcedMs = new Map<string, number>();

  /** Runs whose last change is announced when the interval is over. */
  readonly #delayedAnnouncements = new Set<string>();

  #isClosed = false;

  constructor(options: SharedTargetLimitsOptions) {
    this.#options = options;
  }

  isLimited(target: DirectTarget): boolean {
    return this.#limits.size > 0 && this.#limits.has(buildRunName(target));
  }

  /** Returns whether it is worthwhile to ask for a request to the target now. */
  hasCapacity(target: DirectTarget): boolean {
    if (this.#limits.size === 0) return true;
    const limit = this.#limits.get(buildRunName(target));
    return limit === undefined || this.#options.clock.getNow() >= limit.exhaustedUntilMs;
  }

  /** Returns when one of the targets may take a request, milliseconds from now. */
  getRetryAfterMs(targets: readonly DirectTarget[]): number {
    const nowMs = this.#options.clock.getNow();
    let retryAfterMs = Infinity;
    for (const target of targets) {
      const untilMs = this.#limits.get(buildRunName(target))?.exhaustedUntilMs ?? 0;
      if (untilMs > nowMs) retryAfterMs = Math.min(retryAfterMs, untilMs - nowMs);
    }
    return Number.isFinite(retryAfterMs) ? Math.max(MIN_RETRY_MS, retryAfterMs) : DEFAULT_RETRY_MS;
  }

  /** Asks for one request to a limited target. @returns whether it may be sent */
  async acquire(target: DirectTarget): Promise<boolean> {
    const run = buildRunName(target);
    const limit = this.#limits.get(run);
    if (limit === undefined) return true;
    const { clock, rates } = this.#options;
    const grant = await rates.acquire(run, limit.perSecond);
    if (grant.isGranted) return true;
    limit.exhaustedUntilMs = clock.getNow() + Math.max(MIN_RETRY_MS, grant.retryAfterMs);
    return false;
  }

  /**
   * Handles what an answer says.
   *
   * @param perSecond null where it names no limit
   * @param sentMs when the request was sent, monotonic milliseconds
   */
  handleAnswer(target: DirectTarget, perSecond: number | null | 'invalid', sentMs: number): void {
    if (perSecond === null && this.#limits.size === 0) return;
    const run = buildRunName(target);
    const known = this.#limits.get(run);
    if (perSecond === (known?.perSecond ?? null)) return;
    if (perSecond === 'invalid') {
      this.#options.log.warn('invalid limit in an answer ignored', { target: target.id });
      return;
    }
    // The target may have written this answer before it told others of the limit.
    if (known !== undefined && sentMs < known.learnedMs) return;
    this.#options.log.report('target changed its limit', {
      target: target.id,
      perSecond,
      was: known?.perSecond ?? null,
    });
    this.#set(run, target.id, perSecond, this.#options.clock.getNow());
    this.#announce(run);
  }

  handlePeerMessage(message: PeerMessage): void {
    if (message.kind !== 'target_limit') return;
    const { target: run, targetId, perSecond } = message;
    this.#set(run, targetId, perSecond, this.#options.clock.getNow());
  }

  handleSnapshot({ records, isRestored }: MirrorSnapshot): void {
    if (isRestored) {
      this.#restore(records);
      return;
    }
    const runs = new Set(records.map(({ key }) => this.#parseKey(key)));
    for (const run of [...this.#stored.keys()]) {
      if (!runs.has(run)) this.handleRemoval(this.#buildKey(run));
    }
    for (const record of records) this.handleRecord(record);
  }

  /** Handles the records of a restored store; a limit that is known here is not older. */
  #restore(records: readonly StoreRecord[]): void {
    this.#stored.clear();
    for (const record of records) {
      const run = this.#parseKey(record.key);
      if (this.#limits.has(run)) this.#stored.set(run, record.value);
      else this.handleRecord(record);
    }
    for (const run of this.#limits.keys()) this.#scheduleSave(run);
  }

  handleRecord({ key, value }: StoreRecord): void {
    const run = this.#parseKey(key);
    const stored = decodeJson(StoredLimit, value);
    if (stored.err) {
      this.#options.ignored.report('limit', key, stored.val.message);
      return;
    }
    this.#stored.set(run, value);
    if (this.#isNewerThanStore(run)) return;
    this.#set(run, stored.val.targetId, stored.val.perSecond, -Infinity);
  }

  handleRemoval(key: string): void {
    const run = this.#parseKey(key);
    this.#stored.delete(run);
    if (!this.#isNewerThanStore(run)) this.#limits.delete(run);
  }

  /** Forgets the limits of targets that are gone. */
  expire(): void {
    const nowMs = this.#options.clock.getNow();
    for (const [run, { targetId, learnedMs }] of this.#limits) {
      const target = this.#options.registry.get(targetId);
      if (target !== undefined && buildRunName(target) === run) continue;
      if (nowMs - learnedMs < GONE_RETENTION_MS) continue;
      this.#limits.delete(run);
      this.#announcedMs.delete(run);
      this.#scheduleRemoval(run);
    }
  }

  close(): void {
    this.#isClosed = true;
  }

  #set(run: string, targetId: string, perSecond: number | null, learnedMs: number): void {
    if (perSecond === null) {
      this.#limits.delete(run);
      return;
    }
    const known = this.#limits.get(run);
    if (known === undefined) {
      this.#limits.set(run, { targetId, perSecond, learnedMs, exhaustedUntilMs: -Infinity });
      return;
    }
    // A higher limit may have room at once.
    if (perSecond > known.perSecond) known.exhaustedUntilMs = -Infinity;
    known.perSecond = perSecond;
    known.learnedMs = learnedMs;
  }

  #isNewerThanStore(run: string): boolean {
    const learnedMs = this.#limits.get(run)?.learnedMs ?? -Infinity;
    return this.#options.clock.getNow() - learnedMs < STORE_DELAY_MS;
  }

  /** Tells the other entries of a change, at most once in an interval unless it is lifted. */
  #announce(run: string): void {
    const { clock, timers, sendToEntries } = this.#options;
    const limit = this.#limits.get(run);
    const nowMs = clock.getNow();
    const dueMs = (this.#announcedMs.get(run) ?? -Infinity) + ANNOUNCE_INTERVAL_MS;
    if (limit !== undefined && nowMs < dueMs) {
      if (this.#delayedAnnouncements.has(run)) return;
      this.#delayedAnnouncements.add(run);
      timers.schedule(dueMs - nowMs, () => {
        this.#delayedAnnouncements.delete(run);
        if (!this.#isClosed && this.#limits.has(run)) this.#announce(run);
      });
      return;
    }
    if (limit === undefined) this.#announcedMs.delete(run);
    else this.#announcedMs.set(run, nowMs);
    sendToEntries({
      kind: 'target_limit',
      target: run,
      targetId: limit?.targetId ?? '',
      perSecond: limit?.perSecond ?? null,
    });
    void this.#save(run);
  }

  /** Saves a limit unless another entry does so first. */
  #scheduleSave(run: string): void {
    if (this.#isStored(run)) return;
    const { timers, rankSelf } = this.#options;
    timers.schedule(computeSaveDelay(rankSelf(this.#buildKey(run))), () => {
      if (!this.#isClosed && this.#limits.has(run) && !this.#isStored(run)) void this.#save(run);
    });
  }

  #isStored(run: string): boolean {
    return this.#stored.get(run) === this.#buildValue(run);
  }

  /** Writes the limit of a target until the store holds the current one. */
  async #save(run: string): Promise<void> {
    if (this.#saving.has(run)) return;
    this.#saving.add(run);
    const { store, timers, log } = this.#options;
    const key = this.#buildKey(run);
    let saved: string | null | undefined;
    for (;;) {
      const value = this.#buildValue(run);
      if (saved === value || this.#isClosed) break;
      const result = await store.commit({ conditions: [], writes: [{ key, value }] });
      if (result.ok) saved = value;
      else {
        log.warn('could not store the limit of a target; trying again', {
          target: run,
          cause: result.val.message,
        });
        await new Promise<void>((resolve) => {
          timers.schedule(SAVE_RETRY_MS, resolve);
        });
      }
    }
    this.#saving.delete(run);
  }

  /** Removes a record that is no longer needed, unless another entry does so first. */
  #scheduleRemoval(run: string): void {
    const { random, store, timers, log } = this.#options;
    timers.schedule(random.next() * MAX_REMOVAL_DELAY_MS, () => {
      if (this.#isClosed || !this.#stored.has(run) || this.#limits.has(run)) return;
      const key = this.#buildKey(run);
      void store.commit({ conditions: [], writes: [{ key, value: null }] }).then((result) => {
        if (result.err) {
          log.warn('could not remove the limit of a target that is gone', {
            target: run,
            cause: result.val.message,
          });
        }
      });
    });
  }

  #buildValue(run: string): string | null {
    const limit = this.#limits.get(run);
    if (limit === undefined) return null;
    return JSON.stringify({ targetId: limit.targetId, perSecond: limit.perSecond });
  }

  #buildKey(run: string): string {
    return `${this.#options.prefix}${run}`;
  }

  #parseKey(key: string): string {
    return key.slice(this.#options.prefix.length);
  }
}
