import type { Incarnation } from '../ids/Incarnation.js';
import type { TargetId } from '../ids/TargetId.js';

/** A change of a target's prefix cache. Events are hints: they are late and have gaps. */
export interface CacheEvent {
  readonly target: TargetId;
  readonly incarnation: Incarnation;
  /** Grows by 1 with each event of the incarnation. */
  readonly sequence: number;
  readonly added: readonly string[];
  readonly removed: readonly string[];
}
