import type { Result } from 'ts-results';
import type { ExpertMap } from '../experts/ExpertMap.js';
import type { Failure } from '../errors/Failure.js';
import type { StepGrant } from './StepGrant.js';

/** The commands to the engine of a rank. Repeating one has no further effect. */
export interface EngineSteps {
  /** Loads the weights that a map adds, beside the running ones. */
  loadWeights(map: ExpertMap): Promise<Result<void, Failure>>;
  /** Allows steps up to `grant.until`. */
  grant(grant: StepGrant): Promise<Result<void, Failure>>;
  /** Sets the map for all steps from `boundary` on. */
  switchMap(map: ExpertMap, boundary: number): Promise<Result<void, Failure>>;
}
