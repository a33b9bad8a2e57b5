import { InstanceRecord } from '@limpetbay/core';
import { designSize } from './designSize.js';

/** Creates instances in the proportion of the design size. */
export function createInstances(count: number): InstanceRecord[] {
  const { entries, workers, zones } = designSize;
  const entryCount = Math.round((count * entries) / (entries + workers));
  const records: InstanceRecord[] = [];
  for (let index = 0; index < count; index += 1) {
    const isEntry = index < entryCount;
    const address = `10.${index >> 8}.${index & 255}.17:7000`;
    records.push(
      InstanceRecord.parse({
        id: isEntry ? `entry-${index}` : `agent-${index}`,
        role: isEntry ? 'entry' : 'agent',
        zone: `zone-${index % zones}`,
        address,
        state: 'live',
        ...(isEntry ? { callerUrl: `http://${address}` } : { target: `canerota-${index}` }),
      }),
    );
  }
  return records;
}
