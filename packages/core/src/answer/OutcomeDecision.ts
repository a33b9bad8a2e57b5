import type { Failure } from '../errors/Failure.js';

/**
 * What an entry does after an attempt that did not complete. `retry`: a new attempt; `ran` is
 * `ranBefore` of its result. `resume`: a new attempt from the token offset of the assembler. `tell`:
 * the caller gets an error answer. `abort`: the caller has part of an answer; it gets an error event
 * and a broken connection.
 */
export type OutcomeDecision =
  | { readonly type: 'retry'; readonly ran: boolean }
  | { readonly type: 'resume'; readonly ran: boolean }
  | { readonly type: 'tell'; readonly failure: Failure }
  | { readonly type: 'abort'; readonly failure: Failure };
