import type { ErrorKind } from '../errors/ErrorKind.js';
import { answerTable } from '../errors/answerTable.js';

/** Kinds that describe the request itself and hold whatever an attempt did. */
const SETTLED: ReadonlySet<ErrorKind> = new Set(['timed_out', 'cancelled', 'key_in_progress']);

/**
 * Chooses the kind that a caller is told. A kind that promises `run: 'no'` is replaced where an
 * attempt may have run, because a refused last attempt says nothing about the earlier ones.
 *
 * @param kind kind of the last failure, including one from `Router.pick`
 * @param mayHaveRun whether any attempt of the request may have run, the last one included
 */
export function chooseFailureKind(
  kind: ErrorKind,
  repeatable: boolean,
  mayHaveRun: boolean,
): ErrorKind {
  if (SETTLED.has(kind)) return kind;
  if (!mayHaveRun && answerTable[kind].run === 'no') return kind;
  if (kind === 'deadline_exceeded') return 'timed_out';
  return repeatable ? 'answer_incomplete' : 'outcome_unknown';
}
