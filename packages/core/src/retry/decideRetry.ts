import type { ErrorKind } from '../errors/ErrorKind.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { RetryBudget } from './RetryBudget.js';
import type { RetryCase } from './RetryCase.js';
import type { RetryDecision } from './RetryDecision.js';
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

function createFailure(retryCase: RetryCase, reason: string): RetryDecision {
  const { failure, repeatable } = retryCase;
  const mayHaveRun = retryCase.mayHaveRun || answerTable[failure.kind].run !== 'no';
  const kind = chooseFailureKind(failure.kind, repeatable, mayHaveRun);
  if (kind === failure.kind) return { action: 'fail', failure, reason };
  const message = `${failure.message} (${failure.kind})`;
  return { action: 'fail', failure: { kind, message }, reason };
}

/**
 * Decides what happens after a failed attempt: retry on another target, resume there, or answer
 * with a failure. Takes from the budget only when it decides to retry or resume.
 */
export function decideRetry(
  retryCase: RetryCase,
  budget: RetryBudget,
  random: RandomSource,
): RetryDecision {
  const { failure, repeatable, bytesSent, attempts, deadlineMs } = retryCase;
  const { run, retryElsewhere } = answerTable[failure.kind];
  if (FINAL.has(failure.kind)) return createFailure(retryCase, 'the request has ended');
  if (run === 'no' && !retryElsewhere) {
    return createFailure(retryCase, 'no other target would answer differently');
  }
  if (!repeatable && (run !== 'no' || retryCase.mayHaveRun)) {
    return createFailure(retryCase, 'it may have run and may not be repeated');
  }
  if (bytesSent && !retryCase.resumable) {
    return createFailure(retryCase, 'the caller has part of the answer and it cannot be resumed');
  }
  if (attempts >= MOST_ATTEMPTS) return createFailure(retryCase, 'no attempts are left');
  const isCorrection = CORRECTIONS.has(failure.kind);
  const delayMs = isCorrection ? 0 : computeBackoff(attempts, random);
  if (delayMs >= deadlineMs) return createFailure(retryCase, 'no time is left for a retry');
  if (!isCorrection && !budget.take()) {
    return createFailure(retryCase, 'the retry budget is empty');
  }
  const action = bytesSent ? 'resume' : 'retry';
  return { action, delayMs, reason: `${failure.kind} on attempt ${attempts}` };
}
