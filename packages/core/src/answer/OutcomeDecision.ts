import type { Failure } from '../errors/Failure.js';

/**
 * What an entry does after an attempt that did not complete. `retry`: starts a new attempt; `ran`
 * is `ranBefore` of its result. `resume`: starts a new attempt at the token offset of the
 * assembler. `tell`: sends an error answer to the caller. `abort`: the caller has received part of
 * an answer; the entry sends an error event and breaks the connection.
 */
export type OutcomeDecision =
  | { readonly type: 'retry'; readonly ran: boolean }
  | { readonly type: 'resume'; readonly ran: boolean }
  | { readonly type: 'tell'; readonly failure: Failure }
  | { readonly type: 'abort'; readonly failure: Failure };
