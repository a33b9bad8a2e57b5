/** Time within which a write to a reset connection reports its error, milliseconds. */
export const resetProbeMs = 2;
