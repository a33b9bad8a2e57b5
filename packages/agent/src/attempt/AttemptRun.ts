import type { AdmissionItem, Attempt, Claim, Header } from '@limpetbay/core';
import type { AnswerWriter } from './AnswerWriter.js';

/** What an agent knows about one attempt. */
export interface AttemptRun {
  readonly attempt: Attempt;
  readonly item: AdmissionItem;
  readonly writer: AnswerWriter;
  /** Whether it may run twice, by the documents of both entry and agent. */
  readonly repeatable: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineAtMs: number;
  /** `running` from the hand-over on. */
  phase: 'queued' | 'claiming' | 'running' | 'ended';
  claim: Claim | null;
  startedAtMs: number;
  /** Cancels the call at the target. */
  cancelTarget: (() => void) | null;
  /** The answer so far, kept for the outcome of a keyed request. */
  status: number;
  headers: readonly Header[];
  parts: Uint8Array[];
  tokens: number;
  firstTokenAtMs: number;
}
