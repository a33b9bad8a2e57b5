import { afterAll, beforeAll, expect, it } from 'vitest';
import { DevFleet, defaultFleetOptions } from '@limpetbay/dev';
import { StallingProxy } from '@limpetbay/standins';
import { listExpectedWords, streamChat } from './support/callers.js';

let fleet: DevFleet;
const links: StallingProxy[] = [];

beforeAll(async () => {
  fleet = new DevFleet({ ...defaultFleetOptions, ranks: 2, services: 1, logLevel: 'silent' });
  fleet.setLink(async (address) => {
    const link = new StallingProxy(address);
    links.push(link);
    return link.start();
  });
  await fleet.start();
}, 30_000);

afterAll(async () => {
  for (const link of links) link.stop();
  await fleet.stop();
});

// Guards against requests that wait for ever on connections that something between the processes
// has forgotten, while new connections work.
it('resumes streams whose connections to engine or agent go silent for good', async () => {
  const { url } = [...fleet.entries.values()][0]!;
  let seen = 0;
  const startMs = performance.now();
  const answer = await streamChat(url, 'silent', 60, () => {
    seen += 1;
    if (seen === 10) for (const link of links) link.setConnectionsStalled();
  });
  expect(answer.isComplete).toBe(true);
  expect(answer.words).toEqual(listExpectedWords('silent', 60));
  // 60 steps of 20 ms, 3 s until the silence is noticed, and a retry that may meet it once more.
  expect(performance.now() - startMs).toBeLessThan(10_000);
  const later = await streamChat(url, 'after the silence', 10);
  expect(later.words).toEqual(listExpectedWords('after the silence', 10));
});
