/**
 * Whether a request may be sent to a target.
 *
 * - `allowed`: no part of its prompt is suspected.
 * - `trial`: `parts` are suspected; one request with them may be sent in the whole deployment.
 * - `blocked`: `part` has ended targets, or another request with it is on trial.
 */
export type PromptDecision =
  | { readonly kind: 'allowed' }
  | { readonly kind: 'trial'; readonly parts: readonly string[] }
  | {
      readonly kind: 'blocked';
      readonly part: string;
      /** Targets that ended while requests with the part waited for their answers. */
      readonly ends: number;
      /** When requests with the part may be sent again, milliseconds from now. */
      readonly retryAfterMs: number;
    };
