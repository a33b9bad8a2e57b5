import type { Clock, Result, Failure, StorePosition } from '@limpetbay/core';
import { tryAsyncStep, type Log } from '@limpetbay/runtime';
import type { Timers } from '../ports/Timers.js';
import type { StoreContact } from './StoreContact.js';
import type { StoreMirror } from './StoreMirror.js';

interface PositionProbeOptions {
  readonly clock: Clock;
  readonly timers: Timers;
  readonly mirror: StoreMirror;
  readonly contact: StoreContact;
  readonly ownName: string;
  readonly log: Log;
  /** Lists the names of the live entries. */
  readonly listNames: () => readonly string[];
  /** Reads the current position of the store. */
  readonly readPosition: () => Promise<Result<StorePosition, Failure>>;
  /** Tells other entries a position. */
  readonly announce: (position: StorePosition, names: ReadonlySet<string>) => void;
}

/** Interval at which one entry of a group asks the store. */
const PROBE_INTERVAL_MS = 1100;

/** Delay per rank after which an entry asks itself because it has heard no position. */
const RANK_DELAY_MS = 25;

/** Entries that ask in turn for each other. */
const GROUP_SIZE = 12;

/** An answer to the own watch that is not older than this needs no question. */
const RECENT_ANSWER_MS = 100;

/**
 * Finds out that watches of the store have gone silent. An idle watch shows no sign of life, and if
 * a fault silences the watches of all entries together, none of them learns of a change from the
 * others. So one entry of each group asks the store for its position and tells the others. One that
 * hears nothing asks for itself; if that happens twice in a row, it tells the others as well.
 */
export class PositionProbe {
  readonly #options: PositionProbeOptions;

  /** When this entry last learned a current position, monotonic milliseconds. */
  #heardMs: number;

  /** Questions of this entry since it last heard another one. */
  #ownProbes = 0;

  #cancelTimer: (() => void) | null = null;

  #isStopped = false;

  constructor(options: PositionProbeOptions) {
    this.#options = options;
    this.#heardMs = options.clock.getNow();
  }

  start(): void {
    this.#schedule();
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer?.();
  }

  /** Handles a position that another entry announced. */
  handlePeerPosition(position: StorePosition): void {
    this.#heardMs = this.#options.clock.getNow();
    this.#ownProbes = 0;
    this.#options.mirror.handlePeerPosition(position);
  }

  #schedule(): void {
    if (this.#isStopped) return;
    const { clock, timers, log } = this.#options;
    const delayMs = this.#getDueMs() - clock.getNow();
    this.#cancelTimer = timers.schedule(delayMs, () => {
      if (clock.getNow() < this.#getDueMs()) this.#schedule();
      else {
        void tryAsyncStep(log, 'ask for the store position', () => this.#probe()).then(() =>
          this.#schedule(),
        );
      }
    });
  }

  #getDueMs(): number {
    const { rank } = this.#findGroup();
    return this.#heardMs + PROBE_INTERVAL_MS + rank * RANK_DELAY_MS;
  }

  /** Returns the other entries of the own group, and the place of this one among them. */
  #findGroup(): { readonly names: ReadonlySet<string>; readonly rank: number } {
    const { ownName, listNames } = this.#options;
    const sorted = [...new Set([...listNames(), ownName])].sort();
    const index = sorted.indexOf(ownName);
    const start = index - (index % GROUP_SIZE);
    const names = new Set(sorted.slice(start, start + GROUP_SIZE));
    names.delete(ownName);
    return { names, rank: index - start };
  }

  async #probe(): Promise<void> {
    const { clock, mirror, contact, readPosition, announce } = this.#options;
    this.#heardMs = clock.getNow();
    this.#ownProbes += 1;
    // In an outage, the mirror asks the store anyway.
    if (mirror.getPosition() === null || !contact.isAvailable()) return;
    const isCurrent = clock.getNow() - mirror.getAnsweredMs() <= RECENT_ANSWER_MS;
    const read = isCurrent ? null : await readPosition();
    if (read?.err === true || this.#isStopped) return;
    const position = read?.val ?? mirror.getPosition();
    if (position === null) return;
    const { names, rank } = this.#findGroup();
    if (rank === 0 || this.#ownProbes > 1) announce(position, names);
    mirror.handlePeerPosition(position);
  }
}
