import { expect, it, vi } from 'vitest';
import { BodyBudget, BodyBuffer, ManualClock } from '../../src/index.js';

it('returns the bytes of all chunks in order', () => {
  const body = new BodyBuffer({ maxBytes: 1_000_000 });
  let expected = '';
  for (let index = 0; index < 400; index += 1) {
    const text = String(index % 10).repeat(index);
    expected += text;
    expect(body.append(Buffer.from(text))).toBe(true);
  }
  expect(body.countBytes()).toBe(expected.length);
  expect(body.take().toString()).toBe(expected);
  expect(body.countBytes()).toBe(0);
});

it('refuses a chunk beyond its limit and keeps the others', () => {
  const body = new BodyBuffer({ maxBytes: 4 });
  expect(body.append(Buffer.from('abc'))).toBe(true);
  expect(body.append(Buffer.from('de'))).toBe(false);
  expect(body.append(Buffer.from('d'))).toBe(true);
  expect(body.take().toString()).toBe('abcd');
});

it('keeps no chunk, so that later changes of one do not change the body', () => {
  const body = new BodyBuffer({ maxBytes: 10 });
  const chunk = Buffer.from('a');
  body.append(chunk);
  chunk[0] = 0;
  expect(body.take().toString()).toBe('a');
});

it('is dropped where it is the largest one beyond the common limit', () => {
  const budget = new BodyBudget(10, new ManualClock());
  const onEvicted = vi.fn();
  const small = new BodyBuffer({ maxBytes: 100, budget });
  const large = new BodyBuffer({ maxBytes: 100, budget, onEvicted });
  small.append(Buffer.alloc(4));
  large.append(Buffer.alloc(6));
  expect(budget.countBytes()).toBe(10);
  small.append(Buffer.alloc(1));
  expect(onEvicted).toHaveBeenCalledTimes(1);
  expect(small.countBytes()).toBe(5);
  expect(large.countBytes()).toBe(0);
  expect(budget.countBytes()).toBe(5);
});

it('gives its bytes back to the common limit when it is taken', () => {
  const budget = new BodyBudget(10, new ManualClock());
  const body = new BodyBuffer({ maxBytes: 100, budget });
  body.append(Buffer.alloc(8));
  body.take();
  expect(budget.countBytes()).toBe(0);
  body.append(Buffer.alloc(8));
  expect(body.countBytes()).toBe(8);
});

// Guards against a body that is copied as a whole when it is complete.
it('hands over a large body in blocks that have its bytes in order', () => {
  const body = new BodyBuffer({ maxBytes: 1_000_000 });
  const expected = Buffer.from(Array.from({ length: 300_001 }, (_, index) => index % 251));
  body.append(expected.subarray(0, 100_000));
  body.append(expected.subarray(100_000));
  const blocks = body.takeBlocks();
  expect(Buffer.concat(blocks).equals(expected)).toBe(true);
  expect(Math.max(...blocks.map(({ length }) => length))).toBeLessThanOrEqual(65_536);
  expect(body.countBytes()).toBe(0);
});
