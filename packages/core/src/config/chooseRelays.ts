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
  const chosen: { readonly score: number; readonly record: InstanceRecord }[] = [];
  for (const record of instances) {
    if (record.state === 'leaving') continue;
    const score = scoreRelay(key, record.id);
    // Only few are chosen of many, so the list of the best is kept instead of sorting all.
    let place = chosen.length;
    while (place > 0) {
      const before = chosen[place - 1] as (typeof chosen)[number];
      if (before.score > score) break;
      if (before.score === score && before.record.id < record.id) break;
      place -= 1;
    }
    if (place >= count) continue;
    chosen.splice(place, 0, { score, record });
    if (chosen.length > count) chosen.pop();
  }
  return chosen.map(({ record }) => record);
}
