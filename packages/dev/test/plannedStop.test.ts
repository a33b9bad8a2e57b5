import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { RealClock } from '@limpetbay/runtime';
import { EtcdStore } from '@limpetbay/platform';
import { encodeStoredDocument, getServiceKey } from '@limpetbay/core';
import { createDocuments, defaultFleetOptions } from '@limpetbay/dev';
import { ProcessFleet } from './support/ProcessFleet.js';
import { listExpectedWords, sendBooking, streamChat } from './support/callers.js';

/** Longer than the callers' cache time of the address and its margin. */
const ACCEPTING_MS = 2500;

const fleet = new ProcessFleet();
let url = '';

beforeAll(async () => {
  await fleet.start();
  const store = new EtcdStore({ address: fleet.store.address, clock: new RealClock() });
  for (const document of createDocuments({ ...defaultFleetOptions, ranks: 3 }).values()) {
    const key = getServiceKey(document.service.name);
    const writes = [{ key, value: encodeStoredDocument(document, 'test') }];
    await store.commit({ conditions: [{ key, revision: 0 }], writes });
  }
  store.close();
  await Promise.all([0, 1, 2, 3].map((index) => fleet.startAgent(index)));
  url = await fleet.startEntry('entry-a', 'a', 1000);
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const chat = await streamChat(url, 'ready', 1);
    const booking = await sendBooking(url, 'ready', 'ready');
    if (chat.isComplete && booking.status === 201) break;
    await sleep(100);
  }
}, 30_000);

afterAll(() => fleet.stop());

interface Caller {
  readonly socket: Socket;
  readonly received: string[];
}

async function openCaller(): Promise<Caller> {
  const socket = connect(Number(new URL(url).port), '127.0.0.1');
  const received: string[] = [];
  socket.on('error', () => {});
  socket.on('data', (data) => received.push(data.toString('latin1')));
  await once(socket, 'connect');
  return { socket, received };
}

function formatBooking(contentLength: number): string {
  return (
    'POST /services/bookings/bookings HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n' +
    'limpetbay-workspace: estate-1\r\nlimpetbay-deadline-ms: 20000\r\n' +
    `Content-Length: ${contentLength}\r\n\r\n{"id":"gang-1"}`
  );
}

// Guards against late requests that are taken and cut at the end of the stop, and against callers
// that get a closed connection while they still send a body.
it('refuses late requests on SIGTERM, and finishes those in progress', async () => {
  fleet.service.behaviour = 'hang';
  const late = await openCaller();
  const slow = await openCaller();
  const stream = streamChat(url, 'stopped', 250);
  await sleep(200);
  slow.socket.write(formatBooking(100));
  fleet.sendSignal('entry-a', 'SIGTERM');
  await sleep(ACCEPTING_MS);
  const slowText = slow.received.join('');
  late.socket.write(formatBooking(15));
  await once(late.socket, 'close');
  const { isComplete, words } = await stream;
  expect(late.received.join('')).toContain('HTTP/1.1 503');
  expect(fleet.runsByBooking.has('gang-1')).toBe(false);
  expect(slowText).toContain('HTTP/1.1 503');
  expect(isComplete).toBe(true);
  expect(words).toEqual(listExpectedWords('stopped', 250));
  expect(await fleet.waitForExit('entry-a')).toBe(0);
});
