import { connect, createServer, type AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import { scheduleTimer } from '../src/index.js';

const DELAY_MS = 40;

function block(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

// Guards against a timeout that gives up an answer which arrived while the process was paused.
it('runs an action that was held up after what has arrived was read', async () => {
  const events: string[] = [];
  const server = createServer((socket) => socket.on('data', () => events.push('data')));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  await new Promise((resolve) => {
    socket.write('connected', resolve);
  });
  while (events.length === 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }
  await new Promise<void>((resolve) => {
    setTimeout(() => {
      scheduleTimer(DELAY_MS, () => {
        events.push('timeout');
        resolve();
      });
      // Node.js runs timers after immediates, and only then reads from connections.
      setImmediate(() => {
        socket.write('late');
        block(3 * DELAY_MS);
      });
    }, 1);
  });
  expect(events).toEqual(['data', 'data', 'timeout']);
  socket.destroy();
  server.close();
});

it('cancels an action that was held up', async () => {
  let hasRun = false;
  const cancel = scheduleTimer(DELAY_MS, () => {
    hasRun = true;
  });
  await new Promise<void>((resolve) => {
    setTimeout(() => {
      block(3 * DELAY_MS);
      // Runs after the timer, which has put off its action.
      setTimeout(() => {
        cancel();
        resolve();
      }, 0);
    }, 1);
  });
  await new Promise((resolve) => {
    setTimeout(resolve, DELAY_MS);
  });
  expect(hasRun).toBe(false);
});
