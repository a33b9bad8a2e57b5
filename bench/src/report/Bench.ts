import type { BenchResult } from './BenchResult.js';

/** One bench of the registry. */
export interface Bench {
  readonly name: string;
  /** Whether it runs under an injected clock, so that CI can run it. */
  readonly deterministic: boolean;
  run(): Promise<BenchResult[]>;
}
