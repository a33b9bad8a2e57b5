import { splitAddress, type RankLoad } from '@limpetbay/core';
import { loadBytes } from './loadBytes.js';

const MAX_COUNT = 255;

/**
 * Encodes the loads of ranks as base64: for each rank its IPv4 address, its port and the two counts,
 * which saturate at 255. JSON would take six times as many bytes.
 */
export function encodeLoads(loads: readonly RankLoad[]): string {
  const bytes = Buffer.alloc(loads.length * loadBytes.total);
  let offset = 0;
  for (const { address, active, queued } of loads) {
    const { host, port } = splitAddress(address);
    for (const part of host.split('.')) offset = bytes.writeUInt8(Number(part), offset);
    offset = bytes.writeUInt16BE(port, offset);
    offset = bytes.writeUInt8(Math.min(MAX_COUNT, active), offset);
    offset = bytes.writeUInt8(Math.min(MAX_COUNT, queued), offset);
  }
  return bytes.toString('base64');
}
