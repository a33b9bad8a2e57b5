import { expect, it } from 'vitest';
import { ManualClock } from '@limpetbay/core';
import { AddressBinder, MetricRegistry, SocketErrorLog, type Log } from '../src/index.js';

function createLines(): { readonly lines: unknown[]; readonly log: Log } {
  const lines: unknown[] = [];
  const add = (...line: unknown[]): number => lines.push(line);
  return { lines, log: { report: add, warn: add, alert: add } };
}

// Guards against errors of sockets that nobody counts, and against a log that they fill.
it('SocketErrorLog counts each error and limits the lines to one a second after a burst', () => {
  const clock = new ManualClock();
  const metrics = new MetricRegistry();
  const { lines, log } = createLines();
  const errors = new SocketErrorLog({ clock, log, metrics });
  const fields = { cause: 'send EPERM', next: 'later messages are sent' };
  for (let count = 0; count < 500; count += 1) {
    errors.report('datagrams', 'datagram failed', fields);
  }
  expect(lines).toHaveLength(5);
  expect(lines[0]).toEqual(['datagram failed', { socket: 'datagrams', ...fields }]);
  clock.advance(1000);
  errors.report('datagrams', 'datagram failed', fields);
  const suppressed = 495;
  expect(lines[5]).toEqual(['datagram failed', { socket: 'datagrams', ...fields, suppressed }]);
  expect(metrics.listCounters()).toEqual([
    ['limpetbay_socket_errors_total{socket="datagrams"}', 501],
  ]);
});

// Guards against accepts that fail for want of descriptors, each with a line, and without a counter.
it('AddressBinder counts the errors of a bound socket and limits their lines', async () => {
  const clock = new ManualClock();
  const metrics = new MetricRegistry();
  const { lines, log } = createLines();
  const binder = new AddressBinder({ clock, log, metrics, schedule: () => () => {} });
  let fail: (error: Error) => void = () => {};
  await binder.bind({
    name: 'callers',
    address: '127.0.0.1:80',
    bind: (onError) => {
      fail = onError;
      return Promise.resolve();
    },
  });
  for (let count = 0; count < 500; count += 1) fail(new Error('accept EMFILE'));
  expect(lines).toHaveLength(5);
  expect(lines[0]).toEqual([
    'error of a listening socket',
    {
      socket: 'callers',
      address: '127.0.0.1:80',
      cause: 'accept EMFILE',
      next: 'it stays open; connections that it could not accept are closed or wait',
    },
  ]);
  expect(metrics.listCounters()).toEqual([
    ['limpetbay_socket_errors_total{socket="callers"}', 500],
  ]);
});
