import { z } from 'zod';
import {
  Ok,
  type EngineControl,
  type ExpertCountSource,
  type ExpertMap,
  type Failure,
  type Result,
  type StepGrant,
} from '@limpetbay/core';
import type { EngineClient } from '@limpetbay/targets';

const StepReport = z.object({
  /** Last step that the engine ran. */
  step: z.number().int().nonnegative(),
  /** Wall-clock start of the engine, Unix milliseconds. */
  startedAtMs: z.number(),
});
const CountReport = z.object({ layers: z.array(z.array(z.number())), endMs: z.number() });

/** Sends the commands of the map switch to an engine over its HTTP control paths. */
export class EngineCommands implements EngineControl, ExpertCountSource {
  readonly #engine: EngineClient;

  readonly #getEpoch: () => number;

  /** @param getEpoch returns the planner's epoch, sent with each command as its fencing token */
  constructor(engine: EngineClient, getEpoch: () => number) {
    this.#engine = engine;
    this.#getEpoch = getEpoch;
  }

  /** Returns the last step that the engine ran and the time at which the engine started. */
  readStep(): Promise<Result<z.infer<typeof StepReport>, Failure>> {
    return this.#engine.read('/steps', StepReport);
  }

  loadWeights(map: ExpertMap): Promise<Result<void, Failure>> {
    return this.#send('/orders', { type: 'load_weights', version: map.version, map });
  }

  grant(grant: StepGrant): Promise<Result<void, Failure>> {
    return this.#send('/steps', { grantedUntil: grant.until });
  }

  switchMap(map: ExpertMap, boundary: number): Promise<Result<void, Failure>> {
    return this.#send('/orders', { type: 'switch_map', version: map.version, atStep: boundary });
  }

  read(): ReturnType<ExpertCountSource['read']> {
    return this.#engine.read('/experts', CountReport);
  }

  async #send(path: string, body: object): Promise<Result<void, Failure>> {
    const epoch = this.#getEpoch();
    const answer = await this.#engine.send(path, { epoch, ...body }, StepReport);
    return answer.ok ? Ok(undefined) : answer;
  }
}
