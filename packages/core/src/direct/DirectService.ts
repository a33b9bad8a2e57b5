import { z } from 'zod';
import { EngineModel } from './EngineModel.js';

/** A service whose targets receive requests directly from entries, without an agent. */
export const DirectService = z.object({
  name: z.string(),
  /** Connections that one target accepts from all callers together. */
  maxConnections: z.number().int().positive(),
  /** Requests a second that a cold target can handle; 0 where targets need no warm-up. */
  coldPerSecond: z.number().nonnegative(),
  /** Null for plain services. */
  engine: EngineModel.nullable(),
});

export type DirectService = z.infer<typeof DirectService>;
