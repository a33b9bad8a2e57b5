import type { DirectTarget } from './DirectTarget.js';
import type { UnavailableReason } from './UnavailableReason.js';

/** The chosen target, or why none can take the request. */
export type PickResult =
  | { readonly target: DirectTarget; readonly reason: string }
  | { readonly target: null; readonly reason: UnavailableReason };
