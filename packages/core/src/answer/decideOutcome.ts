import type { Failure } from '../errors/Failure.js';
import { answerTable } from '../errors/answerTable.js';
import type { AttemptResult } from './AttemptResult.js';
import type { OutcomeDecision } from './OutcomeDecision.js';

/** Returns whether the attempt was certainly not dispatched to a target. */
function isSurelyNotRun({ end, failure }: AttemptResult): boolean {
  return end === 'unsent' || (end === 'refused' && answerTable[failure.kind].run === 'no');
}

/** Returns the failure of the whole request, not only of its last attempt. */
function describeFailure(result: AttemptResult, ran: boolean): Failure {
  const { end, failure, repeatable } = result;
  const declaredRun = answerTable[failure.kind].run;
  if (!ran) return declaredRun === 'no' ? failure : { kind: 'no_target', message: failure.message };
  const isDeclared = end === 'refused' || end === 'failed' || failure.kind === 'timed_out';
  if (isDeclared && declaredRun !== 'no') return failure;
  const message = `an attempt may have been run (last failure: ${failure.message})`;
  return { kind: repeatable ? 'answer_incomplete' : 'outcome_unknown', message };
}

/**
 * Decides what follows an attempt that did not complete. The caller gets a kind that means "not
 * run" only if no attempt of the request may have been run. A request that may not be repeated and
 * has no idempotency key gets another attempt only if the last one was certainly not dispatched.
 */
export function decideOutcome(result: AttemptResult): OutcomeDecision {
  const { end, failure, repeatable, headSent, resumable, retryAllowed } = result;
  const notRun = isSurelyNotRun(result);
  const ran = result.ranBefore || !notRun;
  const mayRetry = end === 'unsent' || answerTable[failure.kind].retryElsewhere;
  // The claim prevents a second run of an attempt with a key. A failed target has ended its claim.
  const isProtectedByClaim = result.keyed === true && !headSent && end !== 'failed';
  const mayRepeat = ran ? (repeatable || isProtectedByClaim) && (mayRetry || !notRun) : mayRetry;
  // A refusal because the request may have run (an earlier request with the same key) is final.
  const isFinal = end === 'refused' && !notRun;
  if (retryAllowed && mayRepeat && !isFinal) {
    if (!headSent) return { type: 'retry', ran };
    if (resumable) return { type: 'resume', ran };
  }
  const requestFailure = describeFailure(result, ran);
  return headSent
    ? { type: 'abort', failure: requestFailure }
    : { type: 'tell', failure: requestFailure };
}
