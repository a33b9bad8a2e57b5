import type { ErrorKind } from '../errors/ErrorKind.js';
import { answerTable } from '../errors/answerTable.js';

/** Kinds that describe the request itself and stay correct whatever an attempt did. */
const REQUEST_LEVEL_KINDS: ReadonlySet<ErrorKind> = new Set([
  'timed_out',
  'cancelled',
  'key_in_progress',
]);

/**
 * Chooses the error kind sent to the caller. A kind with `run: 'no'` is replaced if any attempt may
 * have run, because the refusal of the last attempt does not prove that earlier ones did not run.
 *
 * @param kind kind of the last failure, including one from `Router.pick`
 * @param mayHaveRun whether any attempt of the request may have run, the last one included
 */
export function chooseFailureKind(
  kind: ErrorKind,
  repeatable: boolean,
  mayHaveRun: boolean,
): ErrorKind {
  if (REQUEST_LEVEL_KINDS.has(kind)) return kind;
  if (!mayHaveRun && answerTable[kind].run === 'no') return kind;
  if (kind === 'deadline_exceeded') return 'timed_out';
  return repeatable ? 'answer_incomplete' : 'outcome_unknown';
}
