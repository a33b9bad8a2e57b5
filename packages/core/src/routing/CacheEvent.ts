import type { Incarnation } from '../ids/Incarnation.js';
import type { TargetId } from '../ids/TargetId.js';

/**
 * A change to a target's prefix cache. Events may arrive late or be missing, so they are hints
 * only.
 */
export interface CacheEvent {
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  /** Increases by 1 with each event of the incarnation. */
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}
