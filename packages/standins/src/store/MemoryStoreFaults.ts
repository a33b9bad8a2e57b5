/** Faults of a `MemoryStore`. Probabilities range from 0 to 1 and apply to each write. */
export interface MemoryStoreFaults {
  /**
   * `down`: calls fail at once without effect, and watches end. `silent`: calls fail after the
   * timeout without effect, and watches stay open but receive nothing.
   */
  readonly outage: 'none' | 'down' | 'silent';
  /** Minimum and maximum time from a call to its answer, milliseconds. */
  readonly latencyMs: readonly [number, number];
  /** Time after which an unanswered call fails at the caller, milliseconds. */
  readonly timeoutMs: number;
  /** Probability that a write takes effect although the caller gets `outcome_unknown`. */
  readonly droppedAnswerProbability: number;
  /** Probability that a write takes no effect and the caller gets `outcome_unknown`. */
  readonly droppedCallProbability: number;
  /** Probability that a write takes effect only after the caller got `outcome_unknown`. */
  readonly lateEffectProbability: number;
  /** Maximum delay of such a late effect after the answer, milliseconds. */
  readonly maxLateEffectMs: number;
}
