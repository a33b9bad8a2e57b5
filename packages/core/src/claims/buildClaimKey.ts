import { createHash } from 'node:crypto';
import type { ServiceName } from '../ids/ServiceName.js';
import type { Workspace } from '../ids/Workspace.js';

/** Returns the store key of a claim. A caller's key is scoped to its workspace and service. */
export function buildClaimKey(service: ServiceName, workspace: Workspace, key: string): string {
  const scope = JSON.stringify([workspace, service, key]);
  const hash = createHash('sha256').update(scope).digest('base64url');
  return `limpetbay/claims/${service}/${hash}`;
}
