import { z } from 'zod';

/** Load report of an engine from `GET /load`; the engine updates it with a delay. */
export const EngineLoad = z.object({
  /** Start time of the engine, Unix milliseconds; changes with every restart. */
  startedAtMs: z.number(),
  stepTimeMs: z.number(),
  tokensInFlight: z.number(),
  queuedPromptTokens: z.number(),
  /** Free share of the KV cache, 0 to 1. */
  kvFree: z.number(),
  /** Whether the prompt cache and the kernels are warm. */
  warm: z.boolean(),
});

export type EngineLoad = z.infer<typeof EngineLoad>;
