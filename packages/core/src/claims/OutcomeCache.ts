import type { Clock } from '../clock/Clock.js';
import type { ClaimEnd } from './ClaimEnd.js';

interface CachedOutcome {
  readonly bodyHash: string;
  readonly end: ClaimEnd;
  readonly expiresMs: number;
  readonly bytes: number;
}

/** Approximate size of an entry without its body. */
const ENTRY_OVERHEAD_BYTES = 512;

/** LRU cache of recent outcomes by store key. */
export class OutcomeCache {
  readonly #clock: Clock;

  readonly #maxBytes: number;

  readonly #entries = new Map<string, CachedOutcome>();

  #bytes = 0;

  constructor(clock: Clock, maxBytes: number) {
    this.#clock = clock;
    this.#maxBytes = maxBytes;
  }

  /** @param expiresMs monotonic time at which the entry expires and the key counts as new */
  set(storeKey: string, bodyHash: string, end: ClaimEnd, expiresMs: number): void {
    this.remove(storeKey);
    const bytes = ENTRY_OVERHEAD_BYTES + (end.type === 'stored' ? end.outcome.body.byteLength : 0);
    this.#entries.set(storeKey, { bodyHash, end, expiresMs, bytes });
    this.#bytes += bytes;
    for (const oldest of this.#entries.keys()) {
      if (this.#bytes <= this.#maxBytes) break;
      this.remove(oldest);
    }
  }

  find(storeKey: string): { readonly bodyHash: string; readonly end: ClaimEnd } | null {
    const entry = this.#entries.get(storeKey);
    if (entry === undefined) return null;
    if (entry.expiresMs <= this.#clock.getNow()) {
      this.remove(storeKey);
      return null;
    }
    this.#entries.delete(storeKey);
    this.#entries.set(storeKey, entry);
    return entry;
  }

  remove(storeKey: string): void {
    const entry = this.#entries.get(storeKey);
    if (entry === undefined) return;
    this.#entries.delete(storeKey);
    this.#bytes -= entry.bytes;
  }
}
