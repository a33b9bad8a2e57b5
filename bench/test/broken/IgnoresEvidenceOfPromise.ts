import { StepGate } from '@limpetbay/core';
import type { RankEvidence } from '@limpetbay/core';

/** Broken rule: resumes with the old map although all peers have promised a new one. */
export class IgnoresEvidenceOfPromise extends StepGate {
  override acceptEvidence(evidence: readonly RankEvidence[]): boolean {
    return super.acceptEvidence(
      evidence.map((item) => {
        if (item.record?.status !== 'pending') return item;
        return { ...item, record: { ...item.record, status: 'abandoned' as const } };
      }),
    );
  }
}
