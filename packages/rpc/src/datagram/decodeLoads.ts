import type { RankLoad } from '@limpetbay/core';
import { loadBytes } from './loadBytes.js';

/**
 * Decodes loads that `encodeLoads` encoded; an incomplete last one and those with port 0 are
 * ignored.
 */
export function decodeLoads(text: string): RankLoad[] {
  const bytes = Buffer.from(text, 'base64');
  const loads: RankLoad[] = [];
  for (let start = 0; start + loadBytes.total <= bytes.length; start += loadBytes.total) {
    const portOffset = start + loadBytes.host;
    const activeOffset = portOffset + loadBytes.port;
    const host = bytes.subarray(start, portOffset).join('.');
    const port = bytes.readUInt16BE(portOffset);
    if (port === 0) continue;
    loads.push({
      address: `${host}:${port}`,
      active: bytes.readUInt8(activeOffset),
      queued: bytes.readUInt8(activeOffset + loadBytes.active),
    });
  }
  return loads;
}
