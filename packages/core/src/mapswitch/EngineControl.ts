import type { Result } from 'ts-results';
import type { ExpertMap } from '../experts/ExpertMap.js';
import type { Failure } from '../errors/Failure.js';
import type { StepGrant } from './StepGrant.js';

/** Commands to the engine of a rank. They are idempotent. */
export interface EngineControl {
  /** Loads the weights that a map adds, while the current ones remain in use. */
  loadWeights(map: ExpertMap): Promise<Result<void, Failure>>;
  /** Allows the engine to run steps up to and including `grant.until`. */
  grant(grant: StepGrant): Promise<Result<void, Failure>>;
  /** Sets the map for all steps from `boundary` on. */
  switchMap(map: ExpertMap, boundary: number): Promise<Result<void, Failure>>;
}
