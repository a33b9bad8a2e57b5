import type { RankLoad } from '@limpetbay/core';
import { loadBytes } from './loadBytes.js';

/**
 * Decodes loads that `encodeLoads` encoded; an incomplete last one and those with port 0 are
 * ignored.
 *
 * @param paces positions and paces of the ranks that are slower than ordinary ones
 */
export function decodeLoads(
  text: string,
  paces: readonly (readonly [number, number])[] = [],
): RankLoad[] {
  const paceByIndex = new Map(paces);
  const bytes = Buffer.from(text, 'base64');
  const loads: RankLoad[] = [];
  for (let start = 0; start + loadBytes.total <= bytes.length; start += loadBytes.total) {
    const portOffset = start + loadBytes.host;
    const activeOffset = portOffset + loadBytes.port;
    const host = bytes.subarray(start, portOffset).join('.');
    const port = bytes.readUInt16BE(portOffset);
    if (port === 0) continue;
    const pace = paceByIndex.get(start / loadBytes.total);
    loads.push({
      address: `${host}:${port}`,
      active: bytes.readUInt8(activeOffset),
      queued: bytes.readUInt8(activeOffset + loadBytes.active),
      ...(pace === undefined ? {} : { pace }),
    });
  }
  return loads;
}
