import { z } from 'zod';
import { MapDelta } from './MapDelta.js';

/** Order to prepare a map that is described by its difference from one that the rank had before. */
export const MapOrder = z.object({
  version: z.number().int().positive(),
  /** Version of the map from which `delta` differs; 0 is the map with which the group formed. */
  baseVersion: z.number().int().nonnegative(),
  delta: MapDelta,
  /** Digest of the whole map. */
  digest: z.string(),
});

export type MapOrder = z.infer<typeof MapOrder>;
