import { describe, expect, it } from 'vitest';
import { decodeLoads, decodeUnits, encodeLoads, encodeUnits } from '../src/index.js';

describe('encodeLoads', () => {
  it('keeps addresses and counts, which saturate at 255', () => {
    const loads = [
      { address: '10.1.0.40:8227', active: 7, queued: 0 },
      { address: '192.168.255.1:65535', active: 300, queued: 255 },
    ];
    expect(decodeLoads(encodeLoads(loads))).toEqual([loads[0], { ...loads[1], active: 255 }]);
  });

  it('ignores an incomplete load at the end', () => {
    const text = encodeLoads([{ address: '10.1.0.40:8227', active: 7, queued: 0 }]);
    const bytes = Buffer.from(text, 'base64');
    expect(decodeLoads(bytes.subarray(0, 7).toString('base64'))).toEqual([]);
  });
});

describe('encodeUnits', () => {
  it('keeps counts up to 255 and rounds larger ones to the common scale', () => {
    const small = encodeUnits([0, 1, 255]);
    expect([...decodeUnits(small.units, small.scale)]).toEqual([0, 1, 255]);
    const large = encodeUnits([0, 1000, 51_000]);
    expect([...decodeUnits(large.units, large.scale)]).toEqual([0, 1000, 51_000]);
  });
});
