/**
 * Whether a request may be sent to a target.
 *
 * - `allowed`: nothing that it carries is suspected.
 * - `trial`: `suspects` have ended targets; one request with them may be sent in the whole
 *   deployment.
 * - `blocked`: `suspect` has ended targets, or another request with it is on trial.
 */
export type SuspectDecision =
  | { readonly kind: 'allowed' }
  | {
      readonly kind: 'trial';
      readonly suspects: readonly string[];
      /** Whether the request must not be sent if the trial can neither be granted nor denied. */
      readonly isRequired: boolean;
    }
  | {
      readonly kind: 'blocked';
      readonly suspect: string;
      /** Targets that ended on requests with the suspect. */
      readonly ends: number;
      /** When requests with the suspect may be sent again, milliseconds from now. */
      readonly retryAfterMs: number;
    };
