import type { DirectTarget } from './DirectTarget.js';
import type { StartObstacle } from './StartObstacle.js';

/** The choice of a target, or why there is none. */
export type PickResult =
  | { readonly target: DirectTarget; readonly reason: string }
  | { readonly target: null; readonly reason: StartObstacle };
