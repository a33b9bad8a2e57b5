import type { InstanceRecord, VersionedDocument } from '@limpetbay/core';
import type { RevisionReport } from '@limpetbay/rpc';

/** State of the platform and the instances, collected for the command `status`. */
export interface StatusView {
  /** Wall time after all answers arrived. */
  readonly takenAt: Date;
  /** Response time of the store in milliseconds, or the reason why it did not answer. */
  readonly store: { readonly answerMs: number } | { readonly problem: string };
  /** Documents in the store; null if it did not answer. */
  readonly documents: readonly VersionedDocument[] | null;
  /** Instance list; null if it did not answer. */
  readonly instances: readonly InstanceRecord[] | null;
  /** Reason why the instance list did not answer; null if it did. */
  readonly listProblem: string | null;
  /** Report of each instance by id; null if the instance did not answer. */
  readonly reports: ReadonlyMap<string, RevisionReport | null>;
}
