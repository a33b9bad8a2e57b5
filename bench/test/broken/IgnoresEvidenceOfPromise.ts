import { StepGate } from '@limpetbay/core';
import type { RecoveryReply } from '@limpetbay/core';

/** Broken rule: resumes with the old map although all peers have promised a new one. */
export class IgnoresEvidenceOfPromise extends StepGate {
  override handleRecoveryReplies(evidence: readonly RecoveryReply[]): boolean {
    return super.handleRecoveryReplies(
      evidence.map((item) => {
        if (item.record?.status !== 'pending') return item;
        return { ...item, record: { ...item.record, status: 'abandoned' as const } };
      }),
    );
  }
}
