import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { describe, expect, it } from 'vitest';
import { PeerMessage, PeerSocket, encodePeerMessage } from '../src/index.js';

const STATUS = {
  address: '127.0.0.1:80',
  group: 'g',
  epoch: 1,
  rank: 0,
  size: 4,
  isOpen: true,
  active: 1,
  queued: 0,
  kvUsed: 10,
  kvTotal: 100,
  step: 7,
  map: 1,
  prepared: 2,
  armed: { version: 2, step: 9 },
  held: 9,
  isBusy: false,
  passMs: 12,
};

const REPORT = { group: 'g', epoch: 1, isOpen: true, passMs: 1, isMapped: true };

const MAP_ORDER = { version: 3, baseVersion: 2, added: '', removed: '', digest: 'd' };

const STATUS_MESSAGE: PeerMessage = {
  kind: 'status',
  status: STATUS,
  isPlanning: true,
  isIncomplete: false,
  wantsMembers: false,
};

const RECEIVERS = [{ id: 1, agent: '127.0.0.1:80' }];

const messages: readonly Record<string, unknown>[] = [
  { kind: 'status', status: STATUS, isPlanning: true },
  { kind: 'counts', group: 'g', epoch: 1, rank: 1, scale: 1, units: 'AQ==' },
  { kind: 'order', id: 1, epoch: 1, order: { operation: 'arm', version: 1, step: 2 } },
  { kind: 'order', id: 1, epoch: 1, order: { operation: 'hold', step: 2 } },
  { kind: 'order', id: 1, epoch: 1, order: { operation: 'prepare', version: 1, sets: [[[0]]] } },
  { kind: 'map_order', id: 1, epoch: 1, order: MAP_ORDER },
  { kind: 'answer', id: 1, answer: 'done' },
  { kind: 'load', report: REPORT, ranks: '' },
  { kind: 'target_limit', target: 'i-1@1', targetId: 'i-1', perSecond: 2.5 },
  { kind: 'rate_request', id: 1, key: 'i-1@1', perSecond: 2.5 },
  { kind: 'rate_answer', id: 1, isGranted: false, retryAfterMs: 40 },
  JSON.parse(encodePeerMessage(STATUS_MESSAGE)) as Record<string, unknown>,
  { kind: 'planning', group: 'g', rank: 1 },
  { kind: 'planner_arm', id: 1, epoch: 1, version: 2, step: 3, rankAddress: '127.0.0.1:80' },
  { kind: 'map_relay', epoch: 1, order: MAP_ORDER, receivers: RECEIVERS },
  { kind: 'store_position', era: '1', revision: 3 },
  { kind: 'load_relay', report: REPORT, ranks: '', receivers: ['127.0.0.1:80'] },
];

const oddNumbers = ['-1', '1e300', '9007199254740991', '1e999', '"1"', '{}', '[]'];

const oddAddresses = ['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.256:80', 'host:80', ''];

/** Lists the JSON of a message with each of its numbers and addresses replaced in turn. */
function listOddVariants(message: unknown): string[] {
  const variants: string[] = [];
  let fields = 0;
  JSON.stringify(message, (name: string, value: unknown) => {
    const numbers = typeof value === 'number' ? oddNumbers : [];
    const replacements =
      name === 'address' || name === 'rankAddress'
        ? oddAddresses.map((text) => `"${text}"`)
        : numbers;
    const replaced = fields;
    fields += 1;
    for (const json of replacements) {
      let field = 0;
      const text = JSON.stringify(message, (_name, other: unknown) => {
        field += 1;
        return field === replaced + 1 ? '@@' : other;
      });
      variants.push(text.replace('"@@"', () => json));
    }
    return value;
  });
  return variants;
}

// Guards against numbers and addresses that break a planner, a timer or an encoder after they
// passed the check of a datagram.
describe('PeerMessage', () => {
  it.each(messages)('accepts %j, but none of its variants with an odd value', (message) => {
    expect(PeerMessage.safeParse(message).error).toBeUndefined();
    for (const variant of listOddVariants(message)) {
      expect(PeerMessage.safeParse(JSON.parse(variant)).success, variant).toBe(false);
    }
  });

  it('decodes what it has encoded', () => {
    const encoded: unknown = JSON.parse(encodePeerMessage(STATUS_MESSAGE));
    expect(PeerMessage.parse(encoded)).toEqual(STATUS_MESSAGE);
  });

  it.each([
    ['rank', 4096],
    ['size', 4097],
    ['size', 0],
    ['rank', 4],
    ['passMs', 86_400_001],
  ])('refuses a status with %s = %d', (name, value) => {
    const message = { kind: 'status', status: { ...STATUS, [name]: value }, isPlanning: true };
    expect(PeerMessage.safeParse(message).success).toBe(false);
  });
});

async function findPort(): Promise<number> {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => {
    socket.bind(0, '127.0.0.1', resolve);
  });
  const { port } = socket.address();
  const closed = once(socket, 'close');
  socket.close();
  await closed;
  return port;
}

// Guards against a datagram that ends the process that receives it.
describe('PeerSocket with odd datagrams', () => {
  it('reports each with its sender, also where the handler throws, and receives the next', async () => {
    const invalid: [string, string][] = [];
    const received: string[] = [];
    const errors: string[] = [];
    const port = await findPort();
    const receiver = new PeerSocket({
      host: '127.0.0.1',
      port,
      onMessage: (message) => {
        if (message.kind === 'answer') throw new Error('a fault of the handler');
        received.push(message.kind);
      },
      onInvalid: (address, cause) => invalid.push([address, cause]),
      onError: (cause) => errors.push(cause),
    });
    await receiver.bind();
    const sender = createSocket('udp4');
    await new Promise<void>((resolve) => {
      sender.bind(0, '127.0.0.1', resolve);
    });
    const from = `127.0.0.1:${sender.address().port}`;
    const odd = [
      '',
      'no JSON',
      '['.repeat(60_000),
      `{"kind":"subscribe","x":${'[{"a":'.repeat(8000)}`,
      '{"kind":"none"}',
      '{"kind":"rate_answer","id":1,"isGranted":true,"retryAfterMs":1e300}',
    ];
    const texts = [...odd, JSON.stringify(messages[6]), '{"kind":"subscribe"}'];
    for (const text of texts) {
      await new Promise((resolve) => {
        sender.send(text, port, '127.0.0.1', resolve);
      });
    }
    for (let wait = 0; wait < 200 && received.length === 0; wait += 1) {
      await new Promise((resolve) => {
        setTimeout(resolve, 10);
      });
    }
    expect(received).toEqual(['subscribe']);
    expect(errors).toEqual([expect.stringContaining('a fault of the handler')]);
    expect(invalid.map(([address]) => address)).toEqual(odd.map(() => from));
    for (const [, cause] of invalid) expect(cause.length).toBeLessThanOrEqual(200);
    const closed = once(sender, 'close');
    sender.close();
    receiver.close();
    await closed;
  });
});
