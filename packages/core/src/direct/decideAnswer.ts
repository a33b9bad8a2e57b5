import type { AnswerDecision } from './AnswerDecision.js';
import type { AwaitedAnswer } from './AwaitedAnswer.js';
import type { HeadMeaning } from './HeadMeaning.js';
import type { ReceivedAnswer } from './ReceivedAnswer.js';
import { evaluateHead } from './evaluateHead.js';
import { isContinuation } from './isContinuation.js';

type FailedAnswer = Extract<AnswerDecision, { kind: 'failed' }>;

type Failure = Omit<FailedAnswer, 'kind' | 'ifLast'>;

type FinalAnswer = FailedAnswer['ifLast'];

/**
 * Decides what the answer of an attempt means and what its caller is told, from all that is known
 * of the request and of the answer.
 */
export function decideAnswer(awaited: AwaitedAnswer, received: ReceivedAnswer): AnswerDecision {
  const { head, isFirst } = received;
  const meaning = head === null ? null : evaluateHead(awaited, head, isFirst);
  const failure = findFailure(awaited, received, meaning);
  if (failure === null) return { kind: 'answered' };
  return { kind: 'failed', ...failure, ifLast: chooseFinalAnswer(awaited, received, failure) };
}

function findFailure(
  awaited: AwaitedAnswer,
  received: ReceivedAnswer,
  meaning: HeadMeaning | null,
): Failure | null {
  const status = received.head?.status ?? 0;
  if (received.end === 'unsent') {
    return { outcome: 'unreachable', cause: 'the target could not be reached' };
  }
  if (meaning === 'foreign') {
    const id = received.head?.requestId;
    const of = id === null ? 'names no request' : `belongs to request ${id}`;
    return { outcome: 'broken', cause: `the answer ${of}` };
  }
  if (!isContinuation(awaited.resumedAfter, received.firstEventId)) {
    return { outcome: 'broken', cause: 'the resumed stream repeats events' };
  }
  if (meaning === null || received.end === 'cut') {
    return { outcome: 'broken', cause: 'the connection closed before the end of the answer' };
  }
  switch (meaning) {
    case 'misdirected':
      return { outcome: 'rejected', cause: 'another target now has the address' };
    case 'rejection':
      return { outcome: 'rejected', cause: `the target rejected the request with ${status}` };
    case 'unproven':
      return { outcome: 'broken', cause: `the answer does not prove what status ${status} claims` };
    case 'failure':
      return { outcome: 'failed', cause: `the target answered with status ${status}` };
    case 'events':
      return findStreamFailure(awaited, received);
    default:
      if (!awaited.hasBegun) return null;
      return { outcome: 'failed', cause: `the target answered a resumed stream with ${status}` };
  }
}

/** Finds out whether a stream that is complete by its framing lacks a part. */
function findStreamFailure(
  { resumedAfter }: AwaitedAnswer,
  { events, pendingBytes }: ReceivedAnswer,
): Failure | null {
  if (pendingBytes > 0) return { outcome: 'broken', cause: 'the stream ended inside an event' };
  // A resumed stream may have nothing to add.
  const isEmpty = events === 0 && resumedAfter === null;
  return isEmpty ? { outcome: 'broken', cause: 'the stream ended before its first event' } : null;
}

function chooseFinalAnswer(
  { hasBegun, mayHaveRun }: AwaitedAnswer,
  { events, isForwarded }: ReceivedAnswer,
  { outcome }: Failure,
): FinalAnswer {
  if (hasBegun || isForwarded || events > 0) return 'abort';
  if (outcome === 'failed') return 'forward';
  return mayHaveRun || outcome === 'broken' ? 'outcome_unknown' : 'not_run';
}
