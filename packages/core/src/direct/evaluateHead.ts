import type { AwaitedAnswer } from './AwaitedAnswer.js';
import type { DirectAnswerHead } from './DirectAnswerHead.js';
import type { HeadMeaning } from './HeadMeaning.js';
import { isSuccessStatus } from './isSuccessStatus.js';

/** Lowest status that reports a failure of the target. */
const FIRST_FAILURE_STATUS = 500;

/** Statuses that promise a caller that the request did not run. */
const PROMISE_STATUSES = new Set([408, 421, 429, 503]);

/**
 * Evaluates the head of an answer against the request that waits for it.
 *
 * @param isFirst whether it is the first answer on its connection
 */
export function evaluateHead(
  awaited: AwaitedAnswer,
  head: DirectAnswerHead,
  isFirst: boolean,
): HeadMeaning {
  const { status, isSigned, isNotRun, isMisdirected } = head;
  if (!isAnswerTo(awaited, head, isFirst)) return 'foreign';
  if (isMisdirected) return 'misdirected';
  if (isSuccessStatus(status)) {
    if (!isSigned || isNotRun) return 'unproven';
    return awaited.route.kind === 'stream' ? 'events' : 'answer';
  }
  if (isNotRun) return 'rejection';
  if (PROMISE_STATUSES.has(status)) return 'unproven';
  return status >= FIRST_FAILURE_STATUS ? 'failure' : 'answer';
}

/** Without an id, only a refusal is believed, and only where no other request can be meant. */
function isAnswerTo(awaited: AwaitedAnswer, head: DirectAnswerHead, isFirst: boolean): boolean {
  if (head.requestId !== null) return head.requestId === awaited.requestId;
  return isFirst && (head.isNotRun || head.isMisdirected);
}
