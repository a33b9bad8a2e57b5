import type { InstanceRecord } from '../membership/InstanceRecord.js';
import { scoreRelay } from './scoreRelay.js';

/**
 * Returns the `count` instances with the highest rendezvous score for `key`, highest first. Leaving
 * instances are excluded.
 */
export function chooseRelays(
  key: string,
  instances: readonly InstanceRecord[],
  count: number,
): InstanceRecord[] {
  const chosen: { readonly score: number; readonly record: InstanceRecord }[] = [];
  for (const record of instances) {
    if (record.state === 'leaving') continue;
    const score = scoreRelay(key, record.id);
    // Few of many instances are chosen, so only the best are kept in order instead of sorting all.
    let position = chosen.length;
    while (position > 0) {
      const previous = chosen[position - 1] as (typeof chosen)[number];
      if (previous.score > score) break;
      if (previous.score === score && previous.record.id < record.id) break;
      position -= 1;
    }
    if (position >= count) continue;
    chosen.splice(position, 0, { score, record });
    if (chosen.length > count) chosen.pop();
  }
  return chosen.map(({ record }) => record);
}
