import type { DirectTarget } from './DirectTarget.js';

/** The choice of a target, or why there is none and when another try is worthwhile. */
export type PickResult =
  | { readonly target: DirectTarget; readonly reason: string }
  | {
      readonly target: null;
      readonly reason: 'no_target' | 'overloaded' | 'target_cold';
      readonly retryAfterMs: number;
    };
