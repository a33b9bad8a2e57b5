import type { Clock } from '../clock/Clock.js';
import { Revision } from '../ids/Revision.js';
import type { RandomSource } from '../random/RandomSource.js';
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
 * All relays of a zone retry within this bound, so a change that is accepted as soon as the store
 * returns still arrives within 3 s.
 */
const BACKOFF_CAP_MS = 2000;
/** Slightly above the silence limit of the store client, which normally ends the watch first. */
const SILENCE_MS = 2500;
const READ_LIMIT_MS = 5000;

/** Follows the documents of the store directly: a full read, then a watch that resumes. */
export class StoreSource {
  readonly #options: StoreSourceOptions;

  readonly #backoff: Backoff;

  #phase: Phase = 'off';

  #retryAt = 0;

  #startedAt = 0;

  #confirmedAt: number | null = null;

  /** Revision up to which nothing is missing; null where a full read is needed. */
  #revision: Revision | null = null;

  #stopWatch: (() => void) | null = null;

  /** Distinguishes the answers of the present attempt from those of earlier ones. */
  #attempt = 0;

  constructor(options: StoreSourceOptions) {
    this.#options = options;
    const { random } = options;
    this.#backoff = new Backoff({ random, baseMs: BACKOFF_BASE_MS, capMs: BACKOFF_CAP_MS });
  }

  /** Returns when the store last confirmed that nothing was missing, or null. */
  getConfirmedAt(): number | null {
    return this.#confirmedAt;
  }

  isOn(): boolean {
    return this.#phase !== 'off';
  }

  /** Begins to follow; does nothing where it already does. */
  start(): void {
    if (this.#phase === 'off') this.#retry();
  }

  /** Ends the watch; the revision reached stays, so that `start` resumes. */
  stop(): void {
    this.#end();
    this.#phase = 'off';
  }

  /** Ends the watch and begins again at once, as after a pause of the process. */
  restart(): void {
    if (this.#phase === 'off') return;
    this.#end();
    this.#backoff.reset();
    this.#retry();
  }

  /** Starts due attempts and ends silent ones. */
  tick(): void {
    const now = this.#options.clock.getNow();
    const limitMs = this.#phase === 'reading' ? READ_LIMIT_MS : SILENCE_MS;
    if (this.#phase === 'waiting') {
      if (now < this.#retryAt) return;
      if (this.#revision === null) this.#read(now);
      else this.#watch(now, this.#revision);
    } else if (this.#phase !== 'off' && now - this.#startedAt >= limitMs) {
      this.#end();
      this.#retry();
    }
  }

  /** Applies a full read that another part made. @param sentAt when the read was sent */
  applyRead(records: readonly StoreRecord[], revision: Revision, sentAt: number): void {
    const { table, ports } = this.#options;
    const documents = [];
    const unreadable = new Set<string>();
    for (const record of records) {
      const decoded = decodeStoredDocument(record);
      if (decoded.ok) documents.push(decoded.val);
      else {
        unreadable.add(record.key.slice(servicePrefix.length));
        ports.warn('ignored a store value', { reason: decoded.val.message });
      }
    }
    table.applySnapshot(documents, revision, unreadable);
    this.#confirm(sentAt);
  }

  #confirm(at: number): void {
    this.#confirmedAt = Math.max(this.#confirmedAt ?? -Infinity, at);
  }

  #end(): void {
    this.#attempt += 1;
    this.#stopWatch?.();
    this.#stopWatch = null;
  }

  #retry(): void {
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
        this.#end();
        this.#retry();
        return;
      }
      const { records, revision } = answer.val;
      this.applyRead(records, revision, now);
      this.#revision = revision;
      this.#watch(this.#options.clock.getNow(), revision);
    });
  }

  #watch(now: number, revision: Revision): void {
    this.#phase = 'watching';
    this.#startedAt = now;
    this.#attempt += 1;
    const attempt = this.#attempt;
    const { clock, table, ports } = this.#options;
    const from = Revision.parse(revision + 1);
    this.#stopWatch = ports.watchDocuments(from, {
      acceptChange: (change) => {
        if (attempt !== this.#attempt) return;
        this.#startedAt = clock.getNow();
        const decoded = decodeStoredDocument(change);
        if (decoded.ok) table.apply(decoded.val);
        else ports.warn('ignored a store value', { reason: decoded.val.message });
        // Several keys may change in one revision, so resuming repeats the last one.
        this.#reach(change.revision - 1);
      },
      acceptProgress: (reached) => {
        if (attempt !== this.#attempt) return;
        this.#startedAt = clock.getNow();
        this.#reach(reached);
        this.#confirm(this.#startedAt);
        this.#backoff.reset();
      },
      acceptEnd: (reason) => {
        if (attempt !== this.#attempt) return;
        this.#stopWatch = null;
        this.#end();
        if (reason === 'gap') this.#revision = null;
        this.#retry();
      },
    });
  }

  #reach(revision: number): void {
    if (this.#revision !== null && revision > this.#revision) {
      this.#revision = Revision.parse(revision);
    }
  }
}
