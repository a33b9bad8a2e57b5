import type { ClaimOptions } from '@limpetbay/core';

interface Scale {
  readonly tickMs: number;
  readonly silenceMs: number;
  readonly progressMs: number;
  /** Callers and faults are active until this time; then everything works again. */
  readonly activeMs: number;
  readonly endMs: number;
  readonly claims: Partial<ClaimOptions>;
}

/** Times of a schedule: all limits of the product shortened alike, so that many schedules fit. */
export const scale: Scale = {
  tickMs: 50,
  silenceMs: 600,
  progressMs: 200,
  activeMs: 5000,
  endMs: 10_000,
  claims: {
    callTimeoutMs: 400,
    storeWaitMs: 600,
    pollMs: [50, 400],
    ownerGraceMs: 1000,
    bodyBytes: 50,
    cacheBytes: 1500,
  },
};
