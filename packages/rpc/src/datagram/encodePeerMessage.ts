import type { RankStatus } from '@limpetbay/core';
import type { PeerMessage } from './PeerMessage.js';

/** Encodes a message as the text of a datagram. */
export function encodePeerMessage(message: PeerMessage): string {
  if (message.kind !== 'status') return JSON.stringify(message);
  const { kind, status, isPlanning, isIncomplete, wantsMembers } = message;
  return JSON.stringify({
    kind,
    status: createRow(status),
    isPlanning,
    // Absent means false.
    ...(isIncomplete ? { isIncomplete } : {}),
    ...(wantsMembers ? { wantsMembers } : {}),
  });
}

/** Lists the values of a status in the order of `StatusRow`. */
function createRow(status: RankStatus): (string | number | boolean | null)[] {
  const { armed, pace = 1 } = status;
  return [
    ...[status.address, status.group, status.epoch, status.rank, status.size, status.isOpen],
    ...[status.active, status.queued, status.kvUsed, status.kvTotal, status.step, status.map],
    ...[status.prepared, armed?.version ?? null, armed?.step ?? null],
    ...[status.held, status.isBusy, status.passMs],
    ...(pace === 1 ? [] : [pace]),
  ];
}
