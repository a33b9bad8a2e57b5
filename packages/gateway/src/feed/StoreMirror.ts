import {
  Backoff,
  Revision,
  type RandomSource,
  type Store,
  type StoreRecord,
} from '@limpetbay/core';
import type { Log } from '@limpetbay/runtime';
import type { Timers } from '../ports/Timers.js';
import type { MirrorListener } from './MirrorListener.js';

interface StoreMirrorOptions {
  readonly store: Store;
  readonly prefix: string;
  readonly listener: MirrorListener;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly log: Log;
}

/** Bounds of the delay before a retry; short, as the store answers within a few milliseconds. */
const RETRY_DELAY_BASE_MS = 100;
const MAX_RETRY_DELAY_MS = 600;

/**
 * Mirrors a prefix of the store: a full read, then a watch from the next revision on. A watch that
 * fails is resumed after the last revision received; one that missed revisions is replaced by
 * another full read.
 */
export class StoreMirror {
  readonly #options: StoreMirrorOptions;

  readonly #backoff: Backoff;

  #stopWatch: (() => void) | null = null;

  /** Revision up to which all changes were received; null while a full read is needed. */
  #revision: Revision | null = null;

  #isStoreUnavailable = false;

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
    void this.#readAll();
  }

  stop(): void {
    this.#isStopped = true;
    this.#stopWatch?.();
  }

  async #readAll(): Promise<void> {
    const { store, prefix, listener } = this.#options;
    const read = await store.readPrefix(prefix);
    if (this.#isStopped) return;
    if (read.err) {
      this.#setStoreUnavailable(true, read.val.message);
      this.#scheduleRetry();
      return;
    }
    const { records, revision } = read.val;
    this.#setStoreUnavailable(false, 'read');
    this.#revision = revision;
    listener.onSnapshot(records);
    this.#watch(revision);
  }

  #watch(revision: Revision): void {
    const { store, prefix, listener } = this.#options;
    this.#stopWatch = store.watch(prefix, Revision.parse(revision + 1), {
      onChange: (change) => {
        this.#recordRevision(change.revision);
        if (change.value === null) listener.onRemoval(change.key);
        else listener.onRecord(change as StoreRecord);
      },
      onProgress: (latestRevision) => this.#recordRevision(latestRevision),
      onEnd: (reason) => this.#handleWatchEnd(reason),
    });
  }

  #recordRevision(revision: Revision): void {
    this.#setStoreUnavailable(false, 'watch');
    this.#backoff.reset();
    this.#revision = Revision.parse(Math.max(revision, this.#revision ?? 0));
  }

  #handleWatchEnd(reason: 'gap' | 'failed'): void {
    if (this.#isStopped) return;
    this.#stopWatch = null;
    if (reason === 'gap') {
      this.#options.log.warn('watch missed revisions; reading all records again', {
        prefix: this.#options.prefix,
        revision: this.#revision,
      });
      this.#revision = null;
    } else this.#setStoreUnavailable(true, 'the watch failed');
    this.#scheduleRetry();
  }

  #scheduleRetry(): void {
    this.#options.timers.schedule(this.#backoff.next(), () => {
      if (this.#isStopped) return;
      if (this.#revision === null) void this.#readAll();
      else this.#watch(this.#revision);
    });
  }

  #setStoreUnavailable(isUnavailable: boolean, cause: string): void {
    if (this.#isStoreUnavailable === isUnavailable) return;
    this.#isStoreUnavailable = isUnavailable;
    const sentence = isUnavailable ? 'store unavailable; trying again' : 'store available again';
    this.#options.log.warn(sentence, { prefix: this.#options.prefix, cause });
    this.#options.listener.onStoreAvailabilityChange(isUnavailable);
  }
}
