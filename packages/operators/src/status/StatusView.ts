import type { InstanceRecord, VersionedDocument } from '@limpetbay/core';
import type { RevisionReport } from '@limpetbay/rpc';

/** What `status` found out. */
export interface StatusView {
  readonly takenAt: Date;
  /** How long the store took to answer, or why it did not. */
  readonly store: { readonly answerMs: number } | { readonly problem: string };
  /** Documents of the store; null where it did not answer. */
  readonly documents: readonly VersionedDocument[] | null;
  /** The instance list; null where it did not answer, with the reason. */
  readonly instances: readonly InstanceRecord[] | null;
  readonly listProblem: string | null;
  /** Report of each instance by id; null where it did not answer. */
  readonly reports: ReadonlyMap<string, RevisionReport | null>;
}
