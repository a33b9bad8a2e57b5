/** Share of the descriptors; most others are for connections of callers and to targets. */
const SERVICE_SHARE = 1 / 12;

/** The platform, an operator and two callers can always connect. */
const MIN_CONNECTIONS = 4;

/**
 * Computes the most connections to the readiness check, the directory and the metrics of a process
 * together.
 *
 * @param maxDescriptors limit of the whole process
 */
export function computeServiceConnections(maxDescriptors: number): number {
  return Math.max(MIN_CONNECTIONS, Math.floor(maxDescriptors * SERVICE_SHARE));
}
