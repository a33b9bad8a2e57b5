/** A source of uniform random numbers, passed in so that runs can be repeated from a seed. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
}
