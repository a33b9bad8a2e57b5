import { z } from 'zod';
import { Counter } from '../schema/Counter.js';

/** Order to prepare a map that is described by its difference from one that the rank had before. */
export const MapOrder = z.object({
  version: Counter.positive(),
  /** Version of the map to which the difference applies; 0 is the one with which the group formed. */
  baseVersion: Counter,
  /** Copies to add and to remove, each list as base64. */
  added: z.string(),
  removed: z.string(),
  /** Digest of the whole new map. */
  digest: z.string(),
});

export type MapOrder = z.infer<typeof MapOrder>;
