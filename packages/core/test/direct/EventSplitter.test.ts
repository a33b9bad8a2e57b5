import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { EventSplitter } from '../../src/index.js';

const EVENT_BYTES = 65_536;

/** Work that grows with the size takes 4 times as long, with its square 16 times. */
const MAX_GROWTH = 10;

function measurePushMs(eventBytes: number): number {
  const splitter = new EventSplitter();
  const chunk = Buffer.from('x');
  const startMs = performance.now();
  for (let count = 0; count < eventBytes; count += 1) splitter.push(chunk);
  return performance.now() - startMs;
}

describe('EventSplitter', () => {
  it('splits a stream alike, however it is cut into chunks', () => {
    const line = fc.constantFrom('id: 1', 'id: 2', 'data: a', ': note', 'x', '', '', 'id', 'dat');
    const cuts = fc.array(fc.nat(200), { maxLength: 20 });
    fc.assert(
      fc.property(fc.array(line, { maxLength: 30 }), cuts, (lines, offsets) => {
        const text = lines.join('\n');
        const whole = new EventSplitter();
        const expected = whole.push(Buffer.from(text));
        const parts = new EventSplitter();
        let bytes = '';
        let firstId: string | null = null;
        let count = 0;
        let start = 0;
        for (const end of [...offsets.sort((a, b) => a - b), text.length]) {
          const events = parts.push(Buffer.from(text.slice(start, end)));
          bytes += events.bytes.toString();
          firstId ??= events.firstId;
          count += events.count;
          start = Math.max(start, end);
        }
        expect({ bytes, firstId, count }).toEqual({
          ...expected,
          bytes: expected.bytes.toString(),
        });
        expect(parts.getLastId()).toBe(whole.getLastId());
        expect(parts.countPendingBytes()).toBe(whole.countPendingBytes());
        expect(parts.countBytesWithoutData()).toBe(whole.countBytesWithoutData());
      }),
    );
  });

  it('counts bytes without data until an event has some', () => {
    const splitter = new EventSplitter();
    splitter.push(Buffer.from(': a\n\n: b\n\n'));
    expect(splitter.countBytesWithoutData()).toBe(10);
    splitter.push(Buffer.from('data'));
    expect(splitter.countBytesWithoutData()).toBe(14);
    splitter.push(Buffer.from(': x\n\n: c\n\n'));
    expect(splitter.countBytesWithoutData()).toBe(5);
  });

  // Guards against an event in small chunks that stops the event loop for seconds.
  it('takes time in proportion to the size of an incomplete event', () => {
    measurePushMs(EVENT_BYTES);
    const shortMs = measurePushMs(EVENT_BYTES);
    const longMs = measurePushMs(4 * EVENT_BYTES);
    expect(longMs).toBeLessThan(MAX_GROWTH * shortMs);
  });
});
