import { afterAll, beforeAll, expect, it } from 'vitest';
import { DevFleet, defaultFleetOptions } from '@limpetbay/dev';
import { StallingProxy } from '@limpetbay/standins';
import { listExpectedWords, streamChat } from './support/callers.js';

let fleet: DevFleet;
const proxies: StallingProxy[] = [];

beforeAll(async () => {
  fleet = new DevFleet({ ...defaultFleetOptions, ranks: 2, plainTargets: 1, logLevel: 'silent' });
  fleet.setProxyStarter(async (address) => {
    const proxy = new StallingProxy(address);
    proxies.push(proxy);
    return proxy.start();
  });
  await fleet.start();
}, 30_000);

afterAll(async () => {
  for (const proxy of proxies) proxy.stop();
  await fleet.stop();
});

// Guards against requests that wait forever on a stalled connection: a device between the processes
// drops its packets without a reset, while new connections work.
it('resumes streams whose connections to the engine or agent stall for good', async () => {
  const { url } = [...fleet.entries.values()][0]!;
  let wordCount = 0;
  const startMs = performance.now();
  const answer = await streamChat(url, 'stalled', 60, () => {
    wordCount += 1;
    if (wordCount === 10) for (const proxy of proxies) proxy.setConnectionsStalled();
  });
  expect(answer.isComplete).toBe(true);
  expect(answer.words).toEqual(listExpectedWords('stalled', 60));
  // 60 steps of 20 ms, 3 s until the stall is detected, and a retry that may stall once more.
  expect(performance.now() - startMs).toBeLessThan(10_000);
  const later = await streamChat(url, 'after the stall', 10);
  expect(later.words).toEqual(listExpectedWords('after the stall', 10));
});
