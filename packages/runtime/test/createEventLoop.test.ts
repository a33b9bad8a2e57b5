import { expect, it } from 'vitest';
import { createEventLoop } from '@limpetbay/runtime';

/** `most` hands pushed events on in a microtask. */
const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

// Guards against an event that is handled in the middle of another one's handler.
it('handles an event pushed by a handler after that handler', async () => {
  const seen: string[] = [];
  const loop = createEventLoop<string>({
    handle: (event) => {
      if (event === 'tick') return;
      seen.push(`begin ${event}`);
      if (event === 'first') loop.push('second');
      seen.push(`end ${event}`);
    },
    onError: () => undefined,
    tick: 'tick',
    tickMs: 60_000,
  });
  await settle();
  seen.length = 0;
  loop.push('first');
  await settle();
  loop.stop();
  expect(seen).toEqual(['begin first', 'end first', 'begin second', 'end second']);
});

// Guards against one faulty request that ends the whole process.
it('goes on after a handler that throws', async () => {
  const failed: string[] = [];
  const seen: string[] = [];
  const loop = createEventLoop<string>({
    handle: (event) => {
      if (event === 'bad') throw new Error('bug');
      seen.push(event);
    },
    onError: (event) => failed.push(event),
    tick: 'tick',
    tickMs: 60_000,
  });
  await settle();
  loop.push('bad');
  loop.push('good');
  await settle();
  loop.stop();
  expect(failed).toEqual(['bad']);
  expect(seen).toContain('good');
});
