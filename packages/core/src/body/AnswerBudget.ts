import type { Clock } from '../clock/Clock.js';
import { BodyBudget } from './BodyBudget.js';
import type { BudgetedBody } from './BudgetedBody.js';

/** Share of the limit up to which answers are read ahead of their callers. */
const READ_AHEAD_SHARE = 1 / 2;

/** Answers up to this size are always accepted, bytes. */
const SMALL_BYTES = 16_384;

/** Share of the limit of all bodies from which on answers are not read ahead either. */
const BODY_SHARE = 3 / 4;

/**
 * Limits the memory of the answers that targets have begun and callers have not taken. These are
 * bodies too, and count in the limit of all bodies.
 *
 * Where memory is short, an answer is read no faster than its caller takes it; at the limit no further
 * request is sent. What exceeds it nevertheless belongs to requests that were sent before.
 */
export class AnswerBudget {
  readonly #bodies: BodyBudget;

  readonly #answers: BodyBudget;

  /** @param bodies limits all bodies @param maxBytes largest sum of all answers */
  constructor(bodies: BodyBudget, clock: Clock, maxBytes = bodies.getMaxBytes()) {
    this.#bodies = bodies;
    this.#answers = new BodyBudget(maxBytes, clock);
  }

  /** Sets the number of bytes that an answer holds; may evict that answer or another body. */
  update(answer: BudgetedBody, bytes: number): void {
    this.#answers.update(answer, bytes);
    // The answer itself may have been evicted.
    if (bytes === 0 || this.#answers.has(answer)) this.#bodies.update(answer, bytes);
    if (bytes > 0 && !this.#bodies.has(answer)) this.#answers.update(answer, 0);
  }

  /** Returns whether answers must not be read ahead of their callers. */
  isShort(): boolean {
    return (
      this.#answers.countBytes() >= this.#answers.getMaxBytes() * READ_AHEAD_SHARE ||
      this.#bodies.countBytes() >= this.#bodies.getMaxBytes() * BODY_SHARE
    );
  }

  /** Returns whether a request may be sent to a target. @param bytes expected size of its answer */
  hasSpace(bytes: number): boolean {
    return bytes <= SMALL_BYTES || this.#answers.countBytes() < this.#answers.getMaxBytes();
  }

  /** Changes the limit. */
  setMaxBytes(maxBytes: number): void {
    this.#answers.setMaxBytes(maxBytes);
  }

  getMaxBytes(): number {
    return this.#answers.getMaxBytes();
  }

  /** Returns the sum of all answers, bytes. */
  countBytes(): number {
    return this.#answers.countBytes();
  }
}
