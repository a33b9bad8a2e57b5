/** A source of uniform random numbers, injected so that runs can be reproduced from a seed. */
export interface RandomSource {
  /** Returns a number in [0, 1). */
  next(): number;
}
