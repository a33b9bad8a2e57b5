import type { DirectTarget } from './DirectTarget.js';

/** The choice of a target, or why there is none. */
export type PickResult =
  | { readonly target: DirectTarget; readonly reason: string }
  | {
      readonly target: null;
      /** `not_formed`: the groups of all targets form at the moment or wait for their first map. */
      readonly reason: 'no_target' | 'not_formed' | 'overloaded' | 'target_cold';
    };
