import type { BudgetedBody } from './BudgetedBody.js';

interface BodyBufferOptions {
  /** Largest body that is collected. */
  readonly maxBytes: number;
  /** Limit that the body shares with others; none by default. */
  readonly budget?: { update(body: BudgetedBody, bytes: number): void };
  /** Returns whether the body must not be dropped; it may be by default. */
  readonly isPinned?: () => boolean;
  /** Called when the body was dropped because the budget is exhausted. */
  readonly onEvicted?: () => void;
}

const MIN_BLOCK_BYTES = 1024;

const MAX_BLOCK_BYTES = 65_536;

/**
 * Collects a body that arrives in chunks. Chunks are copied into blocks, so that the memory depends
 * on the size of the body alone and not on the number of chunks.
 *
 * ```ts
 * const body = new BodyBuffer({ maxBytes: 1_048_576 });
 * if (!body.append(chunk)) refuse();
 * const bytes = body.take();
 * ```
 */
export class BodyBuffer implements BudgetedBody {
  readonly #options: BodyBufferOptions;

  /** All blocks but the last one are full. */
  #blocks: Buffer[] = [];

  /** Bytes that the last block holds. */
  #lastBytes = 0;

  #bytes = 0;

  /** Bytes of all blocks, which the last one may not fill. */
  #blockBytes = 0;

  constructor(options: BodyBufferOptions) {
    this.#options = options;
  }

  /** Adds a chunk. @returns false, without a change, if the body is then longer than `maxBytes` */
  append(chunk: Uint8Array): boolean {
    if (this.#bytes + chunk.length > this.#options.maxBytes) return false;
    let start = 0;
    while (start < chunk.length) {
      const block = this.#ensureSpace();
      const part = chunk.subarray(start, start + block.length - this.#lastBytes);
      block.set(part, this.#lastBytes);
      this.#lastBytes += part.length;
      start += part.length;
    }
    this.#bytes += chunk.length;
    this.#options.budget?.update(this, this.#countHeldBytes());
    return true;
  }

  countBytes(): number {
    return this.#bytes;
  }

  /** Returns the body in one piece and empties the buffer. */
  take(): Buffer {
    const body = Buffer.concat(this.#blocks, this.#bytes);
    this.clear();
    return body;
  }

  /**
   * Returns the body in blocks of up to 64 KiB and empties the buffer. Unlike `take`, it copies no
   * larger body.
   */
  takeBlocks(): Buffer[] {
    if (this.#bytes <= MAX_BLOCK_BYTES) return [this.take()];
    const blocks = this.#blocks;
    blocks.push((blocks.pop() as Buffer).subarray(0, this.#lastBytes));
    this.clear();
    return blocks;
  }

  /** Drops the body. */
  clear(): void {
    this.#blocks = [];
    this.#lastBytes = 0;
    this.#bytes = 0;
    this.#blockBytes = 0;
    this.#options.budget?.update(this, 0);
  }

  isPinned(): boolean {
    return this.#options.isPinned?.() === true;
  }

  evict(): void {
    this.clear();
    this.#options.onEvicted?.();
  }

  /** Bytes that count in the budget: those of the blocks, which an only small one may not fill. */
  #countHeldBytes(): number {
    return this.#blockBytes > MIN_BLOCK_BYTES ? this.#blockBytes : this.#bytes;
  }

  /** Returns the last block, or a new one if that is full. */
  #ensureSpace(): Buffer {
    const last = this.#blocks[this.#blocks.length - 1];
    if (last !== undefined && this.#lastBytes < last.length) return last;
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.#bytes));
    const block = Buffer.allocUnsafeSlow(bytes);
    this.#blocks.push(block);
    this.#blockBytes += bytes;
    this.#lastBytes = 0;
    return block;
  }
}
