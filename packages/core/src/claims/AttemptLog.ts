import type { Result } from 'ts-results';
import type { Attempt } from '../answer/Attempt.js';
import type { Clock } from '../clock/Clock.js';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import type { Incarnation } from '../ids/Incarnation.js';

interface AttemptLogOptions {
  /**
   * Time for which an attempt is retained after its deadline. It must exceed the longest network
   * delay of a message, because a deadline is counted from the arrival of its attempt.
   */
  readonly maxNetworkDelayMs: number;
  /** Maximum number of retained attempts; more are refused instead of evicting one too early. */
  readonly maxAttempts: number;
}

const DEFAULT_OPTIONS: AttemptLogOptions = { maxNetworkDelayMs: 600_000, maxAttempts: 200_000 };

/** Records the attempts that this agent process has received, so that a duplicate is not run. */
export class AttemptLog {
  readonly #clock: Clock;

  readonly #options: AttemptLogOptions;

  readonly #expiries = new Map<string, number>();

  #incarnation: Incarnation;

  constructor(clock: Clock, incarnation: Incarnation, options?: Partial<AttemptLogOptions>) {
    this.#clock = clock;
    this.#incarnation = incarnation;
    this.#options = { ...DEFAULT_OPTIONS, ...options };
  }

  /** Sets the incarnation after the target was restarted; attempts are retained. */
  setIncarnation(incarnation: Incarnation): void {
    this.#incarnation = incarnation;
  }

  /**
   * Records the first delivery of an attempt.
   *
   * @returns `first`; or `duplicate`, which must not be answered with any frame: a refusal would
   *   say that the attempt was not run although its first delivery may have been. Errors, which
   *   mean that the attempt was not run: `stale_incarnation` for an attempt that may not be
   *   repeated and was not sent to the present incarnation of the target (an earlier one may have
   *   run it), `overloaded` when the log is full.
   */
  recordAttempt(
    attempt: Pick<
      Attempt,
      'requestId' | 'attempt' | 'incarnation' | 'repeatable' | 'idempotencyKey' | 'deadlineMs'
    >,
  ): Result<'first' | 'duplicate', Failure> {
    const now = this.#clock.getNow();
    const id = JSON.stringify([attempt.requestId, attempt.attempt]);
    const expiresMs = this.#expiries.get(id);
    if (expiresMs !== undefined && expiresMs > now) return Ok('duplicate');
    const isGuarded = attempt.repeatable || attempt.idempotencyKey !== '';
    if (!isGuarded && attempt.incarnation !== this.#incarnation) {
      return fail('stale_incarnation', 'the attempt was sent to another incarnation of the target');
    }
    if (this.#expiries.size >= this.#options.maxAttempts) this.#removeExpired(now);
    if (this.#expiries.size >= this.#options.maxAttempts) {
      return fail('overloaded', 'the attempt log is full');
    }
    this.#expiries.set(id, now + attempt.deadlineMs + this.#options.maxNetworkDelayMs);
    return Ok('first');
  }

  /** Returns the number of retained attempts. */
  getSize(): number {
    return this.#expiries.size;
  }

  /** Removes expired attempts; call it every few seconds. */
  tick(): void {
    this.#removeExpired(this.#clock.getNow());
  }

  #removeExpired(now: number): void {
    for (const [id, expiresMs] of this.#expiries) {
      if (expiresMs <= now) this.#expiries.delete(id);
    }
  }
}
