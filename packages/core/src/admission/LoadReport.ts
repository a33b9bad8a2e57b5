import { z } from 'zod';
import { TargetId } from '../ids/TargetId.js';
import { Incarnation } from '../ids/Incarnation.js';
import { AdmissionState } from './AdmissionState.js';

/** Load of a target, sent by its agent with every answer. */
export const LoadReport = z.object({
  target: TargetId,
  incarnation: Incarnation,
  state: AdmissionState,
  inFlight: z.number(),
  /** Current concurrency limit: the least of ramp, adaptive limit and document. */
  limit: z.number(),
  queued: z.number(),
  queueDelayMs: z.number(),
  stepTimeMs: z.number(),
  tokensInFlight: z.number(),
  queuedPromptTokens: z.number(),
  /** Free share of KV memory, 0 to 1. */
  kvFree: z.number(),
  configRevision: z.number(),
});

export type LoadReport = z.infer<typeof LoadReport>;
