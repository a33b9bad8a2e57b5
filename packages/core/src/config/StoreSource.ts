import type { Clock } from '../clock/Clock.js';
import { Revision } from '../ids/Revision.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { Era } from '../store/Era.js';
import type { StorePosition } from '../store/StorePosition.js';
import type { StoreRecord } from '../store/StoreRecord.js';
import { Backoff } from './Backoff.js';
import type { ConfigPorts } from './ConfigPorts.js';
import type { DocumentTable } from './DocumentTable.js';
import { decodeStoredDocument } from './decodeStoredDocument.js';
import { servicePrefix } from './servicePrefix.js';

interface StoreSourceOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ports: ConfigPorts;
  readonly table: DocumentTable;
}

type Phase = 'off' | 'waiting' | 'reading' | 'watching';

const BACKOFF_BASE_MS = 200;
/**
 * All relays of a zone retry within this time, so a change that is accepted as soon as the store is
 * available again still arrives within 3 s.
 */
const BACKOFF_CAP_MS = 2000;
/** Slightly above the progress timeout of the store client, which normally ends the watch first. */
const WATCH_TIMEOUT_MS = 2500;
const READ_TIMEOUT_MS = 5000;

/**
 * Follows the documents of the store directly: a full read, then a watch that resumes after faults.
 */
export class StoreSource {
  readonly #options: StoreSourceOptions;

  readonly #backoff: Backoff;

  #phase: Phase = 'off';

  #retryAt = 0;

  #startedAt = 0;

  #confirmedAt: number | null = null;

  /** Position up to which all changes have arrived; null if a full read is needed. */
  #position: StorePosition | null = null;

  /** Era of the last full read; null before the first one. */
  #era: Era | null = null;

  /**
   * Services that were known before the store was restored and that it has not shown since; they may
   * be lost with it, so they do not count as deleted.
   */
  readonly #keptServices = new Set<string>();

  #stopWatch: (() => void) | null = null;

  /** Number of the current attempt, so that answers to earlier ones can be ignored. */
  #attempt = 0;

  constructor(options: StoreSourceOptions) {
    this.#options = options;
    const { random } = options;
    this.#backoff = new Backoff({ random, baseMs: BACKOFF_BASE_MS, capMs: BACKOFF_CAP_MS });
  }

  /** Returns when the store last confirmed that no change was missing, or null. */
  getConfirmedAt(): number | null {
    return this.#confirmedAt;
  }

  isActive(): boolean {
    return this.#phase !== 'off';
  }

  /** Starts following the store; does nothing if already started. */
  start(): void {
    if (this.#phase === 'off') this.#scheduleRetry();
  }

  /** Ends the watch; keeps the position, so that `start` resumes from it. */
  stop(): void {
    this.#endAttempt();
    this.#phase = 'off';
  }

  /** Ends the watch and starts again with the shortest backoff, as after a pause of the process. */
  restart(): void {
    if (this.#phase === 'off') return;
    this.#endAttempt();
    this.#backoff.reset();
    this.#scheduleRetry();
  }

  /** Starts due attempts and ends those that have timed out. */
  tick(): void {
    const now = this.#options.clock.getNow();
    const timeoutMs = this.#phase === 'reading' ? READ_TIMEOUT_MS : WATCH_TIMEOUT_MS;
    if (this.#phase === 'waiting') {
      if (now < this.#retryAt) return;
      if (this.#position === null) this.#read(now);
      else this.#watch(now, this.#position);
    } else if (this.#phase !== 'off' && now - this.#startedAt >= timeoutMs) {
      this.#endAttempt();
      this.#scheduleRetry();
    }
  }

  /** Applies the result of a full read. @param sentAt when the read was sent */
  applyRead(
    { records, era, revision }: { readonly records: readonly StoreRecord[] } & StorePosition,
    sentAt: number,
  ): void {
    const { table, ports } = this.#options;
    const documents = [];
    const unreadable = new Set<string>();
    const present = new Set<string>();
    for (const record of records) {
      const name = record.key.slice(servicePrefix.length);
      present.add(name);
      const decoded = decodeStoredDocument(record);
      if (decoded.ok) documents.push(decoded.val);
      else {
        unreadable.add(name);
        ports.warn('ignored an invalid store document', { reason: decoded.val.message });
      }
    }
    if (this.#era !== null && this.#era !== era) this.#keepKnownServices();
    this.#era = era;
    for (const name of present) this.#keptServices.delete(name);
    table.applySnapshot(documents, revision, new Set([...unreadable, ...this.#keptServices]));
    this.#recordConfirmation(sentAt);
  }

  #keepKnownServices(): void {
    const { table, ports } = this.#options;
    this.#keptServices.clear();
    for (const { name, document } of table.listDocuments()) {
      if (document !== null) this.#keptServices.add(name);
    }
    ports.warn('store was restored from a copy; keeping the documents that it has lost');
  }

  #recordConfirmation(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt ?? -Infinity, at);
  }

  #endAttempt(): void {
    this.#attempt += 1;
    this.#stopWatch?.();
    this.#stopWatch = null;
  }

  #scheduleRetry(): void {
    this.#phase = 'waiting';
    this.#retryAt = this.#options.clock.getNow() + this.#backoff.next();
  }

  #read(now: number): void {
    this.#phase = 'reading';
    this.#startedAt = now;
    const attempt = this.#attempt;
    this.#options.ports.readDocuments((answer) => {
      if (attempt !== this.#attempt) return;
      if (answer.err) {
        this.#endAttempt();
        this.#scheduleRetry();
        return;
      }
      const { era, revision } = answer.val;
      this.applyRead(answer.val, now);
      this.#position = { era, revision };
      this.#watch(this.#options.clock.getNow(), this.#position);
    });
  }

  #watch(now: number, { era, revision }: StorePosition): void {
    this.#phase = 'watching';
    this.#startedAt = now;
    this.#attempt += 1;
    const attempt = this.#attempt;
    const { clock, table, ports } = this.#options;
    const from = { era, revision: Revision.parse(revision + 1) };
    this.#stopWatch = ports.watchDocuments(from, {
      onChange: (change) => {
        if (attempt !== this.#attempt) return;
        this.#startedAt = clock.getNow();
        const decoded = decodeStoredDocument(change);
        this.#keptServices.delete(change.key.slice(servicePrefix.length));
        if (decoded.ok) table.apply(decoded.val);
        else ports.warn('ignored an invalid store document', { reason: decoded.val.message });
        // Several keys may change in one revision, so resuming repeats the last one.
        this.#advanceRevision(change.revision - 1);
      },
      onProgress: (confirmedRevision) => {
        if (attempt !== this.#attempt) return;
        this.#startedAt = clock.getNow();
        this.#advanceRevision(confirmedRevision);
        this.#recordConfirmation(this.#startedAt);
        this.#backoff.reset();
      },
      onEnd: (reason) => {
        if (attempt !== this.#attempt) return;
        this.#stopWatch = null;
        this.#endAttempt();
        if (reason !== 'failed') this.#position = null;
        this.#scheduleRetry();
      },
    });
  }

  #advanceRevision(revision: number): void {
    if (this.#position !== null && revision > this.#position.revision) {
      this.#position = { ...this.#position, revision: Revision.parse(revision) };
    }
  }
}
