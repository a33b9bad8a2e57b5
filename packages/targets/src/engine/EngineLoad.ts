import { z } from 'zod';

/** What an engine reports about itself at `/load`. The report lags. */
export const EngineLoad = z.object({
  /** Wall-clock start of the engine, Unix milliseconds; changes with every restart. */
  startedAtMs: z.number(),
  stepTimeMs: z.number(),
  tokensInFlight: z.number(),
  queuedPromptTokens: z.number(),
  /** Free share of KV memory, 0 to 1. */
  kvFree: z.number(),
  /** Whether prompt cache and kernels are warm. */
  warm: z.boolean(),
});

export type EngineLoad = z.infer<typeof EngineLoad>;
