import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { RealClock } from '@limpetbay/runtime';
import { EtcdStore } from '@limpetbay/platform';
import { encodeStoredDocument, getServiceKey } from '@limpetbay/core';
import { createDocuments, defaultFleetOptions } from '@limpetbay/dev';
import { ProcessFleet } from './support/ProcessFleet.js';
import { listExpectedWords, sendBooking, streamChat } from './support/callers.js';

const fleet = new ProcessFleet();
const urls: string[] = [];

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
  for (const zone of ['a', 'b']) {
    urls.push(await fleet.startEntry(`entry-${zone}`, zone));
  }
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const first = await streamChat(urls[0]!, 'ready', 1);
    const second = await streamChat(urls[1]!, 'ready', 1);
    const booking = await sendBooking(urls[0]!, 'ready', 'ready');
    if (first.isComplete && second.isComplete && booking.status === 201) break;
    await sleep(100);
  }
}, 30_000);

afterAll(() => fleet.stop());

/** Streams an answer and, after the tenth word, sends a signal to the agent that serves it. */
async function streamWithSignal(prompt: string, signal: NodeJS.Signals) {
  let wordCount = 0;
  let agent = '';
  const answer = await streamChat(urls[0]!, prompt, 60, () => {
    wordCount += 1;
    if (wordCount !== 10) return;
    const index = fleet.engines.ranks.findIndex((rank) => rank.countActive() > 0);
    agent = `agent-canerota-${index}`;
    fleet.sendSignal(agent, signal);
  });
  return { answer, agent };
}

// Guards against a stream that is cut or ends early because an agent process was killed.
it('resumes a stream whose agent was killed', async () => {
  const { answer, agent } = await streamWithSignal('killed', 'SIGKILL');
  expect(answer.isComplete).toBe(true);
  expect(answer.words).toEqual(listExpectedWords('killed', 60));
  await fleet.waitForExit(agent);
  await fleet.startAgent(Number(agent.split('-')[2]));
});

// Guards against a caller that waits for a frozen agent whose sockets stay open, and against late
// words of that agent that reach the caller after it continues.
it('resumes a stream whose agent is frozen, and ignores the agent when it continues', async () => {
  const { answer, agent } = await streamWithSignal('frozen', 'SIGSTOP');
  fleet.sendSignal(agent, 'SIGCONT');
  expect(answer.isComplete).toBe(true);
  expect(answer.words).toEqual(listExpectedWords('frozen', 60));
  const later = await streamChat(urls[0]!, 'after the freeze', 10);
  expect(later.words).toEqual(listExpectedWords('after the freeze', 10));
});

// Guards against a planned stop that cuts off a request in progress, or after which the process
// never exits.
it('finishes requests in progress on SIGTERM and exits with 0', async () => {
  const { answer, agent } = await streamWithSignal('stopped', 'SIGTERM');
  expect(answer.isComplete).toBe(true);
  expect(answer.words).toEqual(listExpectedWords('stopped', 60));
  expect(await fleet.waitForExit(agent)).toBe(0);
  await fleet.startAgent(Number(agent.split('-')[2]));
});

// Guards against a signal that announces new settings and ends the process, with its requests.
it('keeps a stream whose agent and entry read their settings again on SIGHUP', async () => {
  fleet.sendSignal('entry-a', 'SIGHUP');
  const { answer, agent } = await streamWithSignal('reloaded', 'SIGHUP');
  expect(answer.isComplete).toBe(true);
  expect(answer.words).toEqual(listExpectedWords('reloaded', 60));
  expect(fleet.isRunning('entry-a')).toBe(true);
  expect(fleet.isRunning(agent)).toBe(true);
});

// Guards against a second run after an entry was killed between dispatch and answer.
it('runs a keyed booking once although the entry that dispatched it was killed', async () => {
  fleet.service.behaviour = 'hang';
  const first = sendBooking(urls[1]!, 'gang-9', 'key-9').catch(() => 'connection lost');
  await sleep(300);
  fleet.sendSignal('entry-b', 'SIGKILL');
  expect(await first).toBe('connection lost');
  fleet.service.behaviour = 'answer';
  const second = await sendBooking(urls[0]!, 'gang-9', 'key-9', {
    'limpetbay-deadline-ms': '2000',
  });
  expect(second.run).toBe('unknown');
  expect(fleet.runsByBooking.get('gang-9')).toBe(1);
});
