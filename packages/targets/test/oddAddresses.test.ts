import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import dns from 'node:dns';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { RealClock } from '@limpetbay/runtime';
import { DirectPool, checkListener, requestJson, type DirectCall } from '../src/index.js';

const ODD_ADDRESSES = [
  '127.0.0.1:0',
  '127.0.0.1:65536',
  '127.0.0.1:99999',
  '127.0.0.1:1e3',
  '127.0.0.1',
  '127.0.0.256:80',
  'no-such-host:80',
  '',
];

const CALL: DirectCall = { method: 'GET', url: '/', headers: [], body: null, maxIdleMs: 0 };

interface Outcome {
  readonly message: string;
  readonly isUnsent: boolean;
}

/** Sends a call. @returns its failure, and whether it was told before `send` returned */
function sendCall(
  address: string,
  call: Partial<DirectCall>,
): Promise<Outcome & { readonly isEarly: boolean; readonly open: number }> {
  const pool = new DirectPool(address, new RealClock());
  return new Promise((resolve, reject) => {
    let hasReturned = false;
    pool.send(
      { ...CALL, ...call },
      {
        onHead: () => {},
        onData: () => {},
        onEnd: () => reject(new Error('the call was answered')),
        onFailure: (message, isUnsent) =>
          resolve({ message, isUnsent, isEarly: !hasReturned, open: pool.count() }),
      },
    );
    hasReturned = true;
  });
}

// Guards against an address of another writer that throws in the event of a caller.
describe('an address that names no port of a host', () => {
  afterEach(() => vi.restoreAllMocks());

  it.each(ODD_ADDRESSES)(
    '%j fails a call after it was sent, without a name look-up',
    async (odd) => {
      const lookup = vi.spyOn(dns, 'lookup');
      const outcome = await sendCall(odd, {});
      expect(outcome).toMatchObject({ isUnsent: true, isEarly: false, open: 0 });
      expect(outcome.message).toContain(JSON.stringify(odd));
      expect(lookup).not.toHaveBeenCalled();
    },
  );

  it.each(ODD_ADDRESSES)('%j is silent for the check of its listener', async (odd) => {
    const lookup = vi.spyOn(dns, 'lookup');
    await expect(checkListener(odd, 50)).resolves.toBe('silent');
    expect(lookup).not.toHaveBeenCalled();
  });

  it('fails a JSON request', async () => {
    const pool = new DirectPool('127.0.0.1:65536', new RealClock());
    const answer = await requestJson(pool, {
      ...{ method: 'GET', url: '/' },
      ...{ timeoutMs: 1000, maxBodyBytes: 1000 },
    });
    expect(answer.val).toMatchObject({ kind: 'store_unavailable' });
  });
});

// Guards against names of other writers that throw in the event of a caller.
describe('a call that cannot be written', () => {
  it.each([
    { headers: ['x-target', 'a\nb'] },
    { headers: ['x-target', '\u{1F600}'] },
    { url: '/a b' },
    { method: 'GE T' },
  ])('fails as unsent: %j', async (call) => {
    const server = createServer((_request, response) => response.end());
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const outcome = await sendCall(`127.0.0.1:${port}`, call);
    expect(outcome).toMatchObject({ isUnsent: true, isEarly: false, open: 0 });
    server.close();
  });
});
