import { createHash } from 'node:crypto';
import type { ExpertSets } from '@limpetbay/core';

const DIGEST_LENGTH = 16;

/** Computes a digest of a map whose experts are in ascending order, as `applyMapDelta` returns it. */
export function computeMapDigest(map: ExpertSets): string {
  return createHash('sha256').update(JSON.stringify(map)).digest('base64').slice(0, DIGEST_LENGTH);
}
