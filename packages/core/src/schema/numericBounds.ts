const MS_PER_DAY = 86_400_000;

/** Largest values of numbers that other processes and writers send or store. */
export const numericBounds = {
  /**
   * Durations, milliseconds. Small multiples of it stay below 2^31 ms, above which timers of Node.js
   * fire at once.
   */
  durationMs: MS_PER_DAY,
  /** Points in time, Unix milliseconds: the beginning of the year 2100. */
  unixMs: 4_102_444_800_000,
  /** Versions, epochs, passes and revisions; far enough below 2^53 to be increased. */
  counter: 2 ** 52,
  /** Requests that one target processes at once or queues. */
  requests: 100_000,
  /** Requests, tokens or megabits a second, and sizes in tokens or megabytes. */
  quantity: 1_000_000_000,
  /** Priority of a route or workspace; 0 is the most urgent. */
  priority: 1000,
  port: 65_535,
  /** How many times slower than an ordinary rank; all decisions are the same far below it. */
  pace: 1000,
  /** Ranks of one group. */
  ranks: 4096,
  /** Layer sets of a model; map orders encode the set in one byte. */
  expertSets: 256,
  /** Experts of one layer set. */
  experts: 4096,
} as const;
