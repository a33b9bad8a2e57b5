import {
  isRepeatable,
  type AdmissionItem,
  type AnswerFrame,
  type Attempt,
  type Incarnation,
  type ServiceDocument,
} from '@limpetbay/core';
import { AnswerWriter } from './AnswerWriter.js';
import { AttemptRun } from './AttemptRun.js';

interface RunContext {
  /** Active document of the service; null if there is none. */
  readonly document: ServiceDocument | null;
  /** Current incarnation of the target. */
  readonly incarnation: Incarnation;
  /** Monotonic time, milliseconds. */
  readonly nowMs: number;
  readonly send: (frame: AnswerFrame) => boolean;
  readonly finish: () => void;
}

/**
 * Creates the run of an attempt that has just arrived. The attempt is repeatable only if the
 * documents of both entry and agent allow it.
 */
export function createAttemptRun(attempt: Attempt, context: RunContext): AttemptRun {
  const { document, incarnation, nowMs, send, finish } = context;
  const repeatable =
    attempt.repeatable && document !== null && isRepeatable(document, attempt.method, attempt.path);
  const item: AdmissionItem = {
    requestId: attempt.requestId,
    attempt: attempt.attempt,
    workspace: attempt.workspace,
    priority: attempt.priority,
    deadlineMs: nowMs + attempt.deadlineMs,
    promptTokens: attempt.promptTokens,
    maxTokens: attempt.maxTokens,
    incarnation: attempt.incarnation,
    repeatable,
    route: buildRoute(attempt),
  };
  const writer = new AnswerWriter(attempt, incarnation, send, finish);
  return new AttemptRun({ attempt, item, writer, repeatable });
}

/** Groups requests by method and first path segment, because their service times are comparable. */
function buildRoute({ method, path }: Attempt): string {
  return `${method} /${path.split(/[/?]/)[1] ?? ''}`;
}
