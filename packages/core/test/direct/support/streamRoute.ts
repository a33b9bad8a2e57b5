import type { DirectRoute } from '../../../src/index.js';

/** A route whose streams can be resumed. */
export const streamRoute: DirectRoute = {
  name: 'r',
  host: 'h',
  prefix: '/a/',
  kind: 'stream',
  maxAttempts: 2,
  timeoutMs: 8000,
  objectiveMs: 500,
  gapMs: 120,
  patienceMs: 2000,
  priority: 1,
  isPublic: false,
  isResumable: true,
  services: [{ service: 's', weight: 1 }],
};
