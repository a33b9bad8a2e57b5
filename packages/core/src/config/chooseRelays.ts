import type { InstanceRecord } from '../membership/InstanceRecord.js';
import { scoreRelay } from './scoreRelay.js';

/**
 * Orders instances by rendezvous score for `key`, highest first. Instances that are leaving are
 * left out.
 */
export function chooseRelays(
  key: string,
  instances: readonly InstanceRecord[],
  count: number,
): InstanceRecord[] {
  const scored: { readonly score: number; readonly record: InstanceRecord }[] = [];
  for (const record of instances) {
    if (record.state === 'leaving') continue;
    scored.push({ score: scoreRelay(key, record.id), record });
  }
  scored.sort((left, right) => {
    if (left.score !== right.score) return right.score - left.score;
    return left.record.id < right.record.id ? -1 : 1;
  });
  return scored.slice(0, count).map(({ record }) => record);
}
