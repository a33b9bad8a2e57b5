import type { ClaimOptions } from './ClaimOptions.js';

/** Limits for a retention of 24 h. */
export const defaultClaimOptions: ClaimOptions = {
  retentionMs: 86_400_000,
  bodyBytes: 65_536,
  cacheBytes: 16_777_216,
  maxKeys: 4096,
  maxBatch: 100,
  batchBytes: 1_000_000,
  callTimeoutMs: 2000,
  storeWaitMs: 3000,
  outcomeDelayMs: 500,
  pollMs: [100, 2000],
  ownerGraceMs: 60_000,
  bucketMs: 3_600_000,
  skewMs: 600_000,
};
