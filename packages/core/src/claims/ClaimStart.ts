import type { Claim } from './Claim.js';
import type { ClaimOutcome } from './ClaimOutcome.js';

/** What to do with a keyed request: hand it over, or answer with the stored outcome. */
export type ClaimStart =
  | { readonly type: 'run'; readonly claim: Claim }
  | { readonly type: 'replay'; readonly outcome: ClaimOutcome };
