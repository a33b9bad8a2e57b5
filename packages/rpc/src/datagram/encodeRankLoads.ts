import type { RankLoad } from '@limpetbay/core';
import type { PeerMessage } from './PeerMessage.js';
import { AddressCache } from './AddressCache.js';
import { encodeLoads } from './encodeLoads.js';

const addresses = new AddressCache();

/**
 * Encodes the loads of ranks for a load message, with the paces of those that are slower than
 * ordinary ones. Without such ranks, `paces` is undefined and takes no bytes.
 */
export function encodeRankLoads(
  loads: readonly RankLoad[],
): Pick<Extract<PeerMessage, { kind: 'load' }>, 'ranks' | 'paces'> {
  const paces: [number, number][] = [];
  let index = 0;
  for (const { address, pace = 1 } of loads) {
    // `encodeLoads` leaves these ranks out.
    if (addresses.parse(address).err) continue;
    if (pace > 1) paces.push([index, pace]);
    index += 1;
  }
  return { ranks: encodeLoads(loads), paces: paces.length === 0 ? undefined : paces };
}
