import type { Failure } from '../errors/Failure.js';
import { answerTable } from '../errors/answerTable.js';
import type { AttemptResult } from './AttemptResult.js';
import type { OutcomeDecision } from './OutcomeDecision.js';

/** Whether the attempt surely was not handed to a target. */
function isNotRun({ end, failure }: AttemptResult): boolean {
  return end === 'unsent' || (end === 'refused' && answerTable[failure.kind].run === 'no');
}

/** The failure that is true for the whole request, not only for its last attempt. */
function describeFailure(result: AttemptResult, ran: boolean): Failure {
  const { end, failure, repeatable } = result;
  const says = answerTable[failure.kind].run;
  if (!ran) return says === 'no' ? failure : { kind: 'no_target', message: failure.message };
  const isDeclared = end === 'refused' || end === 'failed' || failure.kind === 'timed_out';
  if (isDeclared && says !== 'no') return failure;
  const message = `an attempt may have been run (${failure.message})`;
  return { kind: repeatable ? 'answer_incomplete' : 'outcome_unknown', message };
}

/**
 * Decides what follows an attempt that did not complete. A caller is told "not run" only if no
 * attempt of the request may have been run; a request that may not be repeated and has no key gets
 * another attempt only after one that surely was not handed over.
 */
export function decideOutcome(result: AttemptResult): OutcomeDecision {
  const { end, failure, repeatable, headSent, resumable, retryAllowed } = result;
  const notRun = isNotRun(result);
  const ran = result.ranBefore || !notRun;
  const mayRetry = end === 'unsent' || answerTable[failure.kind].retryElsewhere;
  // The claim decides whether an attempt with a key runs. A target that failed ended the claim.
  const isClaimed = result.keyed === true && !headSent && end !== 'failed';
  const mayRepeat = ran ? (repeatable || isClaimed) && (mayRetry || !notRun) : mayRetry;
  // A refusal that says the request may have run (an earlier request with its key) is final.
  const isFinal = end === 'refused' && !notRun;
  if (retryAllowed && mayRepeat && !isFinal) {
    if (!headSent) return { type: 'retry', ran };
    if (resumable) return { type: 'resume', ran };
  }
  const told = describeFailure(result, ran);
  return headSent ? { type: 'abort', failure: told } : { type: 'tell', failure: told };
}
