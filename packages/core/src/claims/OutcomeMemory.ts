import type { Clock } from '../clock/Clock.js';
import type { ClaimEnd } from './ClaimEnd.js';

interface Item {
  readonly bodyHash: string;
  readonly end: ClaimEnd;
  readonly expiresMs: number;
  readonly bytes: number;
}

/** Bytes that an item without a body takes, roughly. */
const ITEM_BYTES = 512;

/** Recent outcomes by store key, least recently used first out. */
export class OutcomeMemory {
  readonly #clock: Clock;

  readonly #limitBytes: number;

  readonly #items = new Map<string, Item>();

  #bytes = 0;

  constructor(clock: Clock, limitBytes: number) {
    this.#clock = clock;
    this.#limitBytes = limitBytes;
  }

  /** @param expiresMs monotonic time from which the key counts as new */
  remember(storeKey: string, bodyHash: string, end: ClaimEnd, expiresMs: number): void {
    this.remove(storeKey);
    const bytes = ITEM_BYTES + (end.type === 'stored' ? end.outcome.body.byteLength : 0);
    this.#items.set(storeKey, { bodyHash, end, expiresMs, bytes });
    this.#bytes += bytes;
    for (const oldest of this.#items.keys()) {
      if (this.#bytes <= this.#limitBytes) break;
      this.remove(oldest);
    }
  }

  find(storeKey: string): { readonly bodyHash: string; readonly end: ClaimEnd } | null {
    const item = this.#items.get(storeKey);
    if (item === undefined) return null;
    if (item.expiresMs <= this.#clock.getNow()) {
      this.remove(storeKey);
      return null;
    }
    this.#items.delete(storeKey);
    this.#items.set(storeKey, item);
    return item;
  }

  remove(storeKey: string): void {
    const item = this.#items.get(storeKey);
    if (item === undefined) return;
    this.#items.delete(storeKey);
    this.#bytes -= item.bytes;
  }
}
