import type { RankLoad } from '@limpetbay/core';
import { AddressCache } from './AddressCache.js';
import { loadBytes } from './loadBytes.js';

const MAX_COUNT = 255;

const addresses = new AddressCache();

/**
 * Encodes the loads of ranks as base64: for each rank its IPv4 address, its port and the two counts,
 * which saturate at 255. JSON would take six times as many bytes. Ranks whose address is not valid
 * are left out.
 */
export function encodeLoads(loads: readonly RankLoad[]): string {
  const bytes = Buffer.alloc(loads.length * loadBytes.total);
  let offset = 0;
  for (const { address, active, queued } of loads) {
    const parsed = addresses.parse(address);
    if (parsed.err) continue;
    const { host, port } = parsed.val;
    for (const part of host.split('.')) offset = bytes.writeUInt8(Number(part), offset);
    offset = bytes.writeUInt16BE(port, offset);
    offset = bytes.writeUInt8(clampCount(active), offset);
    offset = bytes.writeUInt8(clampCount(queued), offset);
  }
  return bytes.toString('base64', 0, offset);
}

function clampCount(count: number): number {
  return Math.min(MAX_COUNT, Math.max(0, Math.trunc(count) || 0));
}
