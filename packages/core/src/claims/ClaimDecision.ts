import type { Claim } from './Claim.js';
import type { ClaimOutcome } from './ClaimOutcome.js';

/** Decision on a keyed request: dispatch it, or answer it with the stored outcome. */
export type ClaimDecision =
  | { readonly type: 'run'; readonly claim: Claim }
  | { readonly type: 'replay'; readonly outcome: ClaimOutcome };
