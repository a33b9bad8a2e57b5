import { StepGate } from '@limpetbay/core';
import type { RecoveryReply } from '@limpetbay/core';

/** Broken rule: a restarted rank resumes with the old map although all peers promised a new one. */
export class IgnoresPromiseInReplies extends StepGate {
  override handleRecoveryReplies(replies: readonly RecoveryReply[]): boolean {
    return super.handleRecoveryReplies(
      replies.map((reply) => {
        if (reply.record?.status !== 'pending') return reply;
        return { ...reply, record: { ...reply.record, status: 'abandoned' as const } };
      }),
    );
  }
}
