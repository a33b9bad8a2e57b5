import type { Clock } from '../clock/Clock.js';
import type { BudgetedBody } from './BudgetedBody.js';

interface HeldBytes {
  readonly bytes: number;
  /** When the number of bytes last changed, monotonic milliseconds. */
  readonly changedMs: number;
}

/** A body whose size did not change for this time makes no progress. */
const STALLED_MS = 1000;

/**
 * A body without progress is dropped like one that is larger by this factor. Without a limit to the
 * factor, one large body would displace all small ones that wait.
 */
const STALLED_WEIGHT = 8;

/**
 * Share of the budget for bodies that cannot be dropped. The rest is for others, so that a few large
 * requests that run do not lead to the refusal of all small ones.
 */
const PINNED_SHARE = 3 / 4;

/** Bodies up to this size may always be pinned, bytes. */
const SMALL_BYTES = 16_384;

/** Where all bodies are pinned, time after which one may not be any more, milliseconds. */
const RECHECK_MS = 50;

/**
 * Limits the memory of all bodies of a process: those that arrive, those that wait and those that
 * their receivers have not read. Where they exceed it, the largest one is dropped; those that make no
 * progress count as larger.
 */
export class BodyBudget {
  #maxBytes: number;

  readonly #clock: Clock;

  readonly #bodies = new Map<BudgetedBody, HeldBytes>();

  #bytes = 0;

  #evictions = 0;

  /** Until when all bodies count as pinned, monotonic milliseconds. */
  #pinnedUntilMs = -Infinity;

  /** @param maxBytes largest sum of all bodies */
  constructor(maxBytes: number, clock: Clock) {
    this.#maxBytes = maxBytes;
    this.#clock = clock;
  }

  /** Sets the number of bytes that a body holds; may evict that body or another one. */
  update(body: BudgetedBody, bytes: number): void {
    this.#bytes += bytes - (this.#bodies.get(body)?.bytes ?? 0);
    if (bytes === 0) this.#bodies.delete(body);
    else this.#bodies.set(body, { bytes, changedMs: this.#clock.getNow() });
    if (bytes > 0 && body.isPinned?.() !== true) this.#pinnedUntilMs = -Infinity;
    this.#evictExcess();
  }

  /** Returns whether a body holds bytes. */
  has(body: BudgetedBody): boolean {
    return this.#bodies.has(body);
  }

  /** Returns whether a body of this size may be pinned beside those that are pinned already. */
  canPin(bytes: number): boolean {
    if (bytes <= SMALL_BYTES) return true;
    let pinnedBytes = bytes;
    for (const [body, held] of this.#bodies) {
      if (body.isPinned?.() === true) pinnedBytes += held.bytes;
    }
    return pinnedBytes <= this.#maxBytes * PINNED_SHARE;
  }

  /** Changes the limit; bodies beyond it are dropped at once. */
  setMaxBytes(maxBytes: number): void {
    this.#maxBytes = maxBytes;
    this.#evictExcess();
  }

  getMaxBytes(): number {
    return this.#maxBytes;
  }

  /** Returns the sum of all bodies, bytes. */
  countBytes(): number {
    return this.#bytes;
  }

  /** Returns the number of bodies that were dropped so far. */
  countEvictions(): number {
    return this.#evictions;
  }

  #evictExcess(): void {
    while (this.#bytes > this.#maxBytes) {
      const nowMs = this.#clock.getNow();
      if (nowMs < this.#pinnedUntilMs) return;
      const body = this.#chooseBody();
      if (body === null) {
        this.#pinnedUntilMs = nowMs + RECHECK_MS;
        return;
      }
      this.#bytes -= this.#bodies.get(body)?.bytes ?? 0;
      this.#bodies.delete(body);
      this.#evictions += 1;
      body.evict();
    }
  }

  #chooseBody(): BudgetedBody | null {
    const stalledSinceMs = this.#clock.getNow() - STALLED_MS;
    let chosen: BudgetedBody | null = null;
    let chosenWeight = 0;
    for (const [body, { bytes, changedMs }] of this.#bodies) {
      const weight = changedMs <= stalledSinceMs ? bytes * STALLED_WEIGHT : bytes;
      if (weight <= chosenWeight || body.isPinned?.() === true) continue;
      chosen = body;
      chosenWeight = weight;
    }
    return chosen;
  }
}
