import type { ErrorKind } from '../errors/ErrorKind.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { RetryBudget } from './RetryBudget.js';
import type { FailedAttempt } from './FailedAttempt.js';
import type { RetryDecision } from './RetryDecision.js';
import type { AttemptResult } from '../answer/AttemptResult.js';
import { decideOutcome } from '../answer/decideOutcome.js';
import { answerTable } from '../errors/answerTable.js';
import { chooseFailureKind } from './chooseFailureKind.js';
import { computeBackoff } from './computeBackoff.js';

/** Limit of attempts per request, for a request that makes every target fail. */
const MAX_ATTEMPTS = 6;

/**
 * Refusals that mean the entry's view of the target is stale, and that update it. Each target sends
 * such a refusal once per change, so these retries need no other limit and take nothing from the
 * budget. Otherwise, taking a zone out of service could empty the budget and fail requests.
 */
const STALE_VIEW_KINDS: ReadonlySet<ErrorKind> = new Set([
  'zone_out',
  'leaving',
  'isolated',
  'not_ready',
  'stale_incarnation',
]);

/** Kinds after which an attempt on another target cannot succeed. */
const FINAL_KINDS: ReadonlySet<ErrorKind> = new Set(['timed_out', 'cancelled', 'key_in_progress']);

/** Converts the input for `decideOutcome`, which decides whether a request may be repeated. */
function buildAttemptResult(failedAttempt: FailedAttempt): AttemptResult {
  const { failure, repeatable, keyed = false, mayHaveRun, bytesSent, resumable } = failedAttempt;
  const end = failedAttempt.end ?? (answerTable[failure.kind].run === 'no' ? 'refused' : 'failed');
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

/** Creates the decision to fail, with an error kind that is correct for all attempts so far. */
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
 * Decides whether to retry a failed attempt on another target, to resume its stream there, or to
 * fail. `decideOutcome` decides whether another attempt is allowed at all; this function checks
 * the limits on attempts, time and budget. It takes from the budget only if it decides to retry or
 * resume.
 */
export function decideRetry(
  failedAttempt: FailedAttempt,
  budget: RetryBudget,
  random: RandomSource,
): RetryDecision {
  const { failure, attempts, deadlineMs } = failedAttempt;
  const result = buildAttemptResult(failedAttempt);
  if (FINAL_KINDS.has(failure.kind)) return createFailure(result, 'the request has already ended');
  const { type } = decideOutcome(result);
  if (type !== 'retry' && type !== 'resume') {
    return createFailure(
      result,
      'another attempt might run the request twice or fail the same way',
    );
  }
  if (attempts >= MAX_ATTEMPTS) return createFailure(result, 'the limit of attempts is reached');
  const isStaleView = STALE_VIEW_KINDS.has(failure.kind);
  const delayMs = isStaleView ? 0 : computeBackoff(attempts, random);
  if (delayMs >= deadlineMs) return createFailure(result, 'the deadline is too close');
  if (!isStaleView && !budget.take()) {
    return createFailure(result, 'the retry budget is empty');
  }
  return { action: type, delayMs, reason: `${failure.kind} on attempt ${attempts}` };
}
