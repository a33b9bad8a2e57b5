import type { Violation } from './check/Violation.js';

/** What a run showed. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  /** Number of requests by their status, or by how they ended without a complete answer. */
  readonly outcomes: Readonly<Record<string, number>>;
  /** Ends by a signal that came before the program could handle signals; no violation. */
  readonly earlyEnds: number;
  /** Planned stops that were still running at the end of the grace; no violation. */
  readonly lateStops: number;
  /** Largest peak of the resident memory by role, bytes. */
  readonly peakBytes: Readonly<Record<string, number>>;
}
