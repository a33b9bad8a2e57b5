import { z } from 'zod';
import { RankStatus, describeIssue } from '@limpetbay/core';

/**
 * A rank status as the list of its values, which takes a third of the bytes of the object. The
 * `armed` version and step are two values; both are null where the rank is not armed. The pace is
 * absent where it is 1.
 */
export const StatusRow = z.array(z.unknown()).transform((row, context): RankStatus => {
  const status = RankStatus.safeParse({
    address: row[0],
    group: row[1],
    epoch: row[2],
    rank: row[3],
    size: row[4],
    isOpen: row[5],
    active: row[6],
    queued: row[7],
    kvUsed: row[8],
    kvTotal: row[9],
    step: row[10],
    map: row[11],
    prepared: row[12],
    armed: row[13] === null ? null : { version: row[13], step: row[14] },
    held: row[15],
    isBusy: row[16],
    passMs: row[17],
    pace: row[18],
  });
  if (status.success) return status.data;
  context.addIssue(describeIssue(status.error));
  return z.NEVER;
});
