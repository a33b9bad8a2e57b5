/** What goes wrong at a `MemoryStore`. Shares are probabilities from 0 to 1 for each write. */
export interface MemoryStoreFaults {
  /**
   * `down`: calls fail at once and take no effect; watches end. `silent`: calls take no effect and
   * fail after the timeout; watches stay open and see nothing.
   */
  readonly outage: 'none' | 'down' | 'silent';
  /** Least and most time from a call to its answer, milliseconds. */
  readonly latencyMs: readonly [number, number];
  /** Time after which a caller is told that a call failed, milliseconds. */
  readonly timeoutMs: number;
  /** Share of writes that take effect although the caller gets `outcome_unknown`. */
  readonly lostAnswers: number;
  /** Share of writes that take no effect while the caller gets `outcome_unknown`. */
  readonly lostCalls: number;
  /** Share of writes that take effect only after the caller got `outcome_unknown`. */
  readonly lateEffects: number;
  /** Most time by which such an effect is late, milliseconds. */
  readonly latenessMs: number;
}
