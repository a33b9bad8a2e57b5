import { expect, it } from 'vitest';
import { createEventLoop } from '@limpetbay/runtime';

/** Waits for the microtasks in which `most` delivers pushed events. */
const flushMicrotasks = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

// Guards against reentrancy: an event handled while the handler of another event is still running.
it('handles an event pushed by a handler after that handler returns', async () => {
  const handled: string[] = [];
  const loop = createEventLoop<string>({
    handle: (event) => {
      if (event === 'tick') return;
      handled.push(`begin ${event}`);
      if (event === 'first') loop.push('second');
      handled.push(`end ${event}`);
    },
    onError: () => undefined,
    tick: 'tick',
    tickMs: 60_000,
  });
  await flushMicrotasks();
  handled.length = 0;
  loop.push('first');
  await flushMicrotasks();
  loop.stop();
  expect(handled).toEqual(['begin first', 'end first', 'begin second', 'end second']);
});

// Guards against a process that ends because the handler of one event throws.
it('continues after a handler throws', async () => {
  const failed: string[] = [];
  const handled: string[] = [];
  const loop = createEventLoop<string>({
    handle: (event) => {
      if (event === 'bad') throw new Error('bug');
      handled.push(event);
    },
    onError: (event) => failed.push(event),
    tick: 'tick',
    tickMs: 60_000,
  });
  await flushMicrotasks();
  loop.push('bad');
  loop.push('good');
  await flushMicrotasks();
  loop.stop();
  expect(failed).toEqual(['bad']);
  expect(handled).toContain('good');
});
