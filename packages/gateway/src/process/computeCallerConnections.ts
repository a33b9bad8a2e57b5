/** Most descriptors for files, servers, the store and the runtime. */
const MAX_RESERVED = 200;

const RESERVED_SHARE = 1 / 4;

/** Share of the others for callers. The rest is for targets: an idle caller uses none of these. */
const CALLER_SHARE = 0.7;

/**
 * Computes the most connections of callers that an entry accepts, so that it can still reach its
 * targets and the store.
 *
 * @param maxDescriptors limit of the whole process
 */
export function computeCallerConnections(maxDescriptors: number): number {
  const reserved = Math.min(MAX_RESERVED, maxDescriptors * RESERVED_SHARE);
  return Math.max(1, Math.floor((maxDescriptors - reserved) * CALLER_SHARE));
}
