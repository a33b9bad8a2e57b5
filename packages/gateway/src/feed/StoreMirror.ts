import {
  Backoff,
  Revision,
  type Clock,
  type Era,
  type RandomSource,
  type Store,
  type StorePosition,
  type StoreRecord,
} from '@limpetbay/core';
import { tryAsyncStep, tryStep, type Log } from '@limpetbay/runtime';
import type { Timers } from '../ports/Timers.js';
import type { MirrorListener } from './MirrorListener.js';

interface StoreMirrorOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly prefix: string;
  /** Key that is read to find out whether the store answers. */
  readonly checkKey: string;
  readonly listener: MirrorListener;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly log: Log;
  /** Returns the number of processes that mirror the store. */
  readonly countMirrors: () => number;
}

/** Bounds of the delay before a retry; short, as the store answers within a few milliseconds. */
const RETRY_DELAY_BASE_MS = 100;
const MAX_RETRY_DELAY_MS = 600;

/** After a restoration all mirrors read everything again; their reads are spread by this per mirror. */
const RESTORED_READ_SPREAD_MS = 4;

/** Full reads in a row that may fail at the listener before only changes are followed. */
const MAX_FAILED_SNAPSHOTS = 3;

/** A watch delivers a change within this time; one that is later has gone silent, milliseconds. */
const MAX_LAG_MS = 500;

/** Time in which writers write again what a restored store has lost. */
const RESTORATION_MS = 5000;

/**
 * Mirrors a prefix of the store: a full read, then a watch from the next revision on. A watch that
 * fails is resumed after the last revision received; one that missed revisions, or whose store was
 * restored from a copy, is replaced by another full read.
 */
export class StoreMirror {
  readonly #options: StoreMirrorOptions;

  readonly #backoff: Backoff;

  #stopWatch: (() => void) | null = null;

  /** Position up to which all changes were received; null while a full read is needed. */
  #position: StorePosition | null = null;

  /** Era of the last full read; null before the first one. */
  #era: Era | null = null;

  /** Until when full reads count as reads of a restored store, monotonic milliseconds. */
  #restorationEndMs = -Infinity;

  /** Whether the last full read failed; only the first failure of several is logged. */
  #hasReadFailed = false;

  /** Full reads in a row that the listener could not apply. */
  #failedSnapshots = 0;

  /** When the store last answered a read or the watch, monotonic milliseconds. */
  #answeredMs = -Infinity;

  /** Whether it is about to be checked that the watch is not behind another process. */
  #isCheckingLag = false;

  #isStopped = false;

  constructor(options: StoreMirrorOptions) {
    this.#options = options;
    this.#backoff = new Backoff({
      random: options.random,
      baseMs: RETRY_DELAY_BASE_MS,
      capMs: MAX_RETRY_DELAY_MS,
    });
  }

  start(): void {
    void this.#startRead();
  }

  stop(): void {
    this.#isStopped = true;
    this.#stopWatch?.();
  }

  /** Returns the position up to which all changes were received; null before the first full read. */
  getPosition(): StorePosition | null {
    return this.#position;
  }

  /** Returns when the store last answered a read or the watch, monotonic milliseconds. */
  getAnsweredMs(): number {
    return this.#answeredMs;
  }

  /**
   * Handles a position of the store that this process or another one has learned. A watch request
   * whose connection has gone silent shows it only at the end of its wait.
   */
  handlePeerPosition(position: StorePosition): void {
    if (!this.#isBehind(position) || this.#isCheckingLag) return;
    this.#isCheckingLag = true;
    this.#options.timers.schedule(MAX_LAG_MS, () => {
      this.#isCheckingLag = false;
      if (!this.#isBehind(position) || this.#stopWatch === null || this.#isStopped) return;
      this.#options.log.warn('watch is behind the store; starting it again', {
        revision: this.#position?.revision,
        current: position.revision,
      });
      this.#stopWatch();
      this.#watch(this.#position as StorePosition);
    });
  }

  #isBehind({ era, revision }: StorePosition): boolean {
    return this.#position?.era === era && this.#position.revision < revision;
  }

  async #startRead(): Promise<void> {
    const hasEnded = await tryAsyncStep(this.#options.log, 'read the store', () => this.#readAll());
    if (hasEnded || this.#isStopped) return;
    this.#position = null;
    this.#scheduleRetry();
  }

  async #readAll(): Promise<void> {
    const { clock, store, prefix, listener, log } = this.#options;
    const read = await store.readPrefix(prefix);
    if (this.#isStopped) return;
    if (read.err) {
      if (!this.#hasReadFailed) {
        log.warn('could not read the store; trying again', { prefix, cause: read.val.message });
      }
      this.#hasReadFailed = true;
      this.#scheduleRetry();
      return;
    }
    this.#hasReadFailed = false;
    const { records, era, revision } = read.val;
    const nowMs = clock.getNow();
    if (this.#era !== null && this.#era !== era) this.#restorationEndMs = nowMs + RESTORATION_MS;
    const isRestored = nowMs < this.#restorationEndMs;
    this.#position = { era, revision };
    this.#answeredMs = nowMs;
    this.#era = era;
    const isApplied = tryStep(log, 'apply a full read', { revision }, () =>
      listener.onSnapshot({ records, era, isRestored }),
    );
    this.#failedSnapshots = isApplied ? 0 : this.#failedSnapshots + 1;
    // A snapshot that fails each time is given up; the changes after it are still applied.
    if (this.#failedSnapshots > 0 && this.#failedSnapshots < MAX_FAILED_SNAPSHOTS) {
      this.#position = null;
      this.#scheduleRetry();
    } else this.#watch(this.#position);
  }

  #watch({ era, revision }: StorePosition): void {
    const { store, prefix, listener, log } = this.#options;
    const from = { era, revision: Revision.parse(revision + 1) };
    this.#stopWatch = store.watch(prefix, from, {
      onChange: (change) => {
        this.#recordRevision(change.revision);
        tryStep(log, 'apply a record', { key: change.key }, () => {
          if (change.value === null) listener.onRemoval(change.key);
          else listener.onRecord(change as StoreRecord);
        });
      },
      onProgress: (latestRevision) => this.#recordRevision(latestRevision),
      onEnd: (reason) => this.#handleWatchEnd(reason),
    });
  }

  #recordRevision(revision: Revision): void {
    this.#answeredMs = this.#options.clock.getNow();
    this.#backoff.reset();
    if (this.#position === null || revision <= this.#position.revision) return;
    this.#position = { ...this.#position, revision };
  }

  #handleWatchEnd(reason: 'gap' | 'restored' | 'failed'): void {
    if (this.#isStopped) return;
    this.#stopWatch = null;
    const { prefix, log, random, countMirrors } = this.#options;
    const fields = { prefix, ...this.#position };
    if (reason === 'failed') {
      log.warn('watch ended; resuming it after the last revision', fields);
      this.#scheduleRetry();
      return;
    }
    this.#position = null;
    if (reason === 'gap') {
      log.warn('watch missed revisions; reading all records again', fields);
      this.#scheduleRetry();
      return;
    }
    log.warn('store was restored from a copy; reading all records again', fields);
    this.#scheduleRetry(random.next() * RESTORED_READ_SPREAD_MS * countMirrors());
  }

  #scheduleRetry(delayMs = this.#backoff.next()): void {
    this.#options.timers.schedule(delayMs, () => {
      if (this.#isStopped) return;
      if (this.#position === null) void this.#startRead();
      else void this.#startResumption();
    });
  }

  async #startResumption(): Promise<void> {
    const { log } = this.#options;
    const hasEnded = await tryAsyncStep(log, 'resume the watch', () => this.#resumeWatch());
    if (!hasEnded && !this.#isStopped) this.#scheduleRetry();
  }

  /**
   * Resumes a watch that failed. A resumed watch may stay silent until the next change, so another
   * call finds out first whether the store answers.
   */
  async #resumeWatch(): Promise<void> {
    const { store, checkKey } = this.#options;
    const checked = await store.read(checkKey);
    if (this.#isStopped) return;
    if (checked.err || this.#position === null) this.#scheduleRetry();
    else this.#watch(this.#position);
  }
}
