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

interface MirrorOptions {
  readonly store: Store;
  readonly prefix: string;
  readonly listener: MirrorListener;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly log: Log;
}

/** Bounds of the delay before the next try, milliseconds; the store answers in a few. */
const RETRY_BASE_MS = 100;
const RETRY_CAP_MS = 600;

/**
 * Follows a prefix of the store: a full read, then a watch from its revision on. A watch that
 * breaks goes on where it was; one that lost revisions starts with a full read again.
 */
export class StoreMirror {
  readonly #options: MirrorOptions;

  readonly #backoff: Backoff;

  #stopWatch: (() => void) | null = null;

  /** Revision up to which nothing is missing; null before the first full read. */
  #revision: Revision | null = null;

  #isAway = false;

  #isStopped = false;

  constructor(options: MirrorOptions) {
    this.#options = options;
    this.#backoff = new Backoff({
      random: options.random,
      baseMs: RETRY_BASE_MS,
      capMs: RETRY_CAP_MS,
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
      this.#setAway(true, read.val.message);
      this.#scheduleNext();
      return;
    }
    const { records, revision } = read.val;
    this.#setAway(false, 'read');
    this.#revision = revision;
    listener.acceptAll(records);
    this.#watch(revision);
  }

  #watch(revision: Revision): void {
    const { store, prefix, listener } = this.#options;
    this.#stopWatch = store.watch(prefix, Revision.parse(revision + 1), {
      acceptChange: (change) => {
        this.#recordProgress(change.revision);
        if (change.value === null) listener.acceptRemoval(change.key);
        else listener.acceptRecord(change as StoreRecord);
      },
      acceptProgress: (seen) => this.#recordProgress(seen),
      acceptEnd: (reason) => this.#acceptEnd(reason),
    });
  }

  #recordProgress(revision: Revision): void {
    this.#setAway(false, 'watch');
    this.#backoff.reset();
    this.#revision = Revision.parse(Math.max(revision, this.#revision ?? 0));
  }

  #acceptEnd(reason: 'gap' | 'failed'): void {
    if (this.#isStopped) return;
    this.#stopWatch = null;
    if (reason === 'gap') {
      this.#options.log.warn('watch lost revisions; reading all records again', {
        prefix: this.#options.prefix,
        revision: this.#revision,
      });
      this.#revision = null;
    } else this.#setAway(true, 'the watch failed');
    this.#scheduleNext();
  }

  #scheduleNext(): void {
    this.#options.timers.schedule(this.#backoff.next(), () => {
      if (this.#isStopped) return;
      if (this.#revision === null) void this.#readAll();
      else this.#watch(this.#revision);
    });
  }

  #setAway(isAway: boolean, cause: string): void {
    if (this.#isAway === isAway) return;
    this.#isAway = isAway;
    const sentence = isAway ? 'store is away' : 'store is back';
    this.#options.log.warn(sentence, { prefix: this.#options.prefix, cause });
    this.#options.listener.setStoreAway(isAway);
  }
}
