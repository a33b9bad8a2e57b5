import type { ErrorKind } from '../errors/ErrorKind.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { RetryBudget } from './RetryBudget.js';
import type { RetryCase } from './RetryCase.js';
import type { RetryDecision } from './RetryDecision.js';
import type { AttemptResult } from '../answer/AttemptResult.js';
import { decideOutcome } from '../answer/decideOutcome.js';
import { answerTable } from '../errors/answerTable.js';
import { chooseFailureKind } from './chooseFailureKind.js';
import { computeBackoff } from './computeBackoff.js';

/** Most attempts of one request, against a request that fails every target it meets. */
const MOST_ATTEMPTS = 6;

/**
 * Refusals that correct the entry's view of the target. Each target gives such a refusal once per
 * change, so they are limited by themselves and take nothing from the budget; without this, taking
 * a zone out could use up the budget and fail requests.
 */
const CORRECTIONS: ReadonlySet<ErrorKind> = new Set([
  'zone_out',
  'leaving',
  'isolated',
  'not_ready',
  'stale_incarnation',
]);

/** Ends of an attempt that no other target can mend. */
const FINAL: ReadonlySet<ErrorKind> = new Set(['timed_out', 'cancelled', 'key_in_progress']);

/** Translates a retry case for `decideOutcome`, which holds the rules on repeating a request. */
function toResult(retryCase: RetryCase): AttemptResult {
  const { failure, repeatable, keyed = false, mayHaveRun, bytesSent, resumable } = retryCase;
  const end = retryCase.end ?? (answerTable[failure.kind].run === 'no' ? 'refused' : 'failed');
  return {
    end,
    failure,
    repeatable,
    keyed,
    ranBefore: mayHaveRun,
    headSent: bytesSent,
    resumable,
    retryAllowed: true,
  };
}

function createFailure(result: AttemptResult, reason: string): RetryDecision {
  const decision = decideOutcome({ ...result, retryAllowed: false });
  const failure = 'failure' in decision ? decision.failure : result.failure;
  const mayHaveRun = answerTable[failure.kind].run !== 'no';
  const kind = chooseFailureKind(failure.kind, result.repeatable, mayHaveRun);
  if (kind === result.failure.kind) return { action: 'fail', failure: result.failure, reason };
  const message = `${result.failure.message} (${result.failure.kind})`;
  return { action: 'fail', failure: { kind, message }, reason };
}

/**
 * Decides what happens after a failed attempt: retry on another target, resume there, or answer
 * with a failure. `decideOutcome` says whether another attempt is allowed at all; the limits on
 * attempts, time and budget are checked here. Takes from the budget only when it decides to retry
 * or resume.
 */
export function decideRetry(
  retryCase: RetryCase,
  budget: RetryBudget,
  random: RandomSource,
): RetryDecision {
  const { failure, attempts, deadlineMs } = retryCase;
  const result = toResult(retryCase);
  if (FINAL.has(failure.kind)) return createFailure(result, 'the request has ended');
  const { type } = decideOutcome(result);
  if (type !== 'retry' && type !== 'resume') {
    return createFailure(result, 'another attempt might run it twice or answer no differently');
  }
  if (attempts >= MOST_ATTEMPTS) return createFailure(result, 'no attempts are left');
  const isCorrection = CORRECTIONS.has(failure.kind);
  const delayMs = isCorrection ? 0 : computeBackoff(attempts, random);
  if (delayMs >= deadlineMs) return createFailure(result, 'no time is left for a retry');
  if (!isCorrection && !budget.take()) {
    return createFailure(result, 'the retry budget is empty');
  }
  return { action: type, delayMs, reason: `${failure.kind} on attempt ${attempts}` };
}
