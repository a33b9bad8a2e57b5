import type { Result } from 'ts-results';
import type { Attempt } from '../answer/Attempt.js';
import type { Clock } from '../clock/Clock.js';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import type { Incarnation } from '../ids/Incarnation.js';

interface AttemptLogOptions {
  /**
   * An attempt is remembered for this long after its deadline. It must exceed the time by which the
   * network can delay a message, because a deadline is counted from the arrival of its attempt.
   */
  readonly delayMs: number;
  /** Attempts remembered at once; more are refused instead of forgetting one too early. */
  readonly maxAttempts: number;
}

const DEFAULTS: AttemptLogOptions = { delayMs: 600_000, maxAttempts: 200_000 };

/** The attempts that this life of an agent has received, so that a second delivery is not run. */
export class AttemptLog {
  readonly #clock: Clock;

  readonly #options: AttemptLogOptions;

  readonly #expiries = new Map<string, number>();

  #incarnation: Incarnation;

  constructor(clock: Clock, incarnation: Incarnation, options?: Partial<AttemptLogOptions>) {
    this.#clock = clock;
    this.#incarnation = incarnation;
    this.#options = { ...DEFAULTS, ...options };
  }

  /** Sets the incarnation after the target was restarted; attempts stay remembered. */
  setIncarnation(incarnation: Incarnation): void {
    this.#incarnation = incarnation;
  }

  /**
   * Records the first delivery of an attempt.
   *
   * @returns `first`; or `duplicate`, which must get no frame at all: a refusal would say that the
   *   attempt was not run although its first delivery may have been. Errors, which say that nothing
   *   was run: `stale_incarnation` for an attempt that may not be repeated and was not sent to this
   *   life of the target (an earlier life may have run it), `overloaded` when the log is full.
   */
  accept(
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
      return fail('stale_incarnation', 'the attempt was sent to another life of the target');
    }
    if (this.#expiries.size >= this.#options.maxAttempts) this.#expire(now);
    if (this.#expiries.size >= this.#options.maxAttempts) {
      return fail('overloaded', 'too many attempts are remembered');
    }
    this.#expiries.set(id, now + attempt.deadlineMs + this.#options.delayMs);
    return Ok('first');
  }

  /** Returns the attempts that are remembered. */
  getSize(): number {
    return this.#expiries.size;
  }

  /** Forgets attempts whose time is over; call it every few seconds. */
  tick(): void {
    this.#expire(this.#clock.getNow());
  }

  #expire(now: number): void {
    for (const [id, expiresMs] of this.#expiries) {
      if (expiresMs <= now) this.#expiries.delete(id);
    }
  }
}
