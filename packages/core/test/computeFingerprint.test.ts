import { describe, expect, it } from 'vitest';
import { computeFingerprint } from '../src/index.js';

const REQUEST = {
  method: 'POST',
  host: 'h.example',
  url: '/a/x?y=1',
  caller: 'key secret',
  body: Buffer.from('body'),
};

const LONG_BYTES = 4_000_000;

describe('computeFingerprint', () => {
  // Guards against requests that are taken for repetitions of another one.
  it('differs for another method, host, path, query, caller or body', () => {
    const others = [
      { method: 'PUT' },
      { host: 'i.example' },
      { url: '/a/z?y=1' },
      { url: '/a/x?y=2' },
      { caller: 'key other' },
      { body: Buffer.from('bodY') },
      { body: Buffer.from('body ') },
      { caller: 'key secretb', body: Buffer.from('ody') },
    ];
    const fingerprints = others.map((other) => computeFingerprint({ ...REQUEST, ...other }));
    expect(new Set([computeFingerprint(REQUEST), ...fingerprints]).size).toBe(others.length + 1);
    expect(computeFingerprint({ ...REQUEST })).toBe(computeFingerprint(REQUEST));
  });

  // Guards against keys and bodies in logs and in the store.
  it('is a digest of fixed length', () => {
    expect(computeFingerprint(REQUEST)).toMatch(/^request-[0-9a-f]{32}$/);
  });

  // Guards against long bodies that delay other requests.
  it('reads the beginning, the end and the length of a long body', () => {
    const body = Buffer.alloc(LONG_BYTES, 1);
    const changeByte = (index: number): string => {
      const changed = Buffer.from(body);
      changed[index] = 2;
      return computeFingerprint({ ...REQUEST, body: changed });
    };
    const fingerprint = computeFingerprint({ ...REQUEST, body });
    expect(changeByte(0)).not.toBe(fingerprint);
    expect(changeByte(LONG_BYTES - 1)).not.toBe(fingerprint);
    expect(changeByte(LONG_BYTES / 2)).toBe(fingerprint);
    expect(computeFingerprint({ ...REQUEST, body: body.subarray(1) })).not.toBe(fingerprint);
  });
});
