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

// Guards against an agent that stops reporting because a rank has an address it cannot encode.
describe('encodeLoads with odd loads', () => {
  const sound = { address: '127.0.0.1:80', active: 1, queued: 2 };

  it.each([
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '127.0.0.1:99999',
    '127.0.0.256:80',
    '127.0.0.1',
    '1.2.3.4.5:80',
    'host:80',
    '',
  ])('leaves out the address %j and keeps the others', (address) => {
    const loads = [sound, { ...sound, address }, sound];
    expect(decodeLoads(encodeLoads(loads))).toEqual([sound, sound]);
  });

  it.each([
    [-1, 0],
    [1e300, 255],
    [Number.MAX_SAFE_INTEGER, 255],
    [Infinity, 255],
    [-Infinity, 0],
    [NaN, 0],
  ])('clamps the count %d to %d', (count, encoded) => {
    const load = { address: '127.0.0.1:80', active: count, queued: count };
    const [decoded] = decodeLoads(encodeLoads([load]));
    expect(decoded).toEqual({ ...load, active: encoded, queued: encoded });
  });

  it('decodes no load with port 0', () => {
    const bytes = Buffer.from([127, 0, 0, 1, 0, 0, 1, 1, 127, 0, 0, 1, 0, 80, 1, 2]);
    expect(decodeLoads(bytes.toString('base64'))).toEqual([sound]);
  });
});

describe('encodeUnits', () => {
  it('keeps counts up to 255 and rounds larger ones to the common scale', () => {
    const small = encodeUnits([0, 1, 255]);
    expect([...decodeUnits(small.units, small.scale)]).toEqual([0, 1, 255]);
    const large = encodeUnits([0, 1000, 51_000]);
    expect([...decodeUnits(large.units, large.scale)]).toEqual([0, 1000, 51_000]);
  });

  it('encodes finite counts for counts that are not', () => {
    const { units, scale } = encodeUnits([1, Infinity, NaN, -1, Number.MAX_VALUE]);
    for (const count of decodeUnits(units, scale)) expect(Number.isFinite(count)).toBe(true);
  });
});
