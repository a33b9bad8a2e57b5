import { afterEach, beforeEach, expect, it } from 'vitest';
import { EntrySettings, startEntry, type RunningEntry } from '@limpetbay/entry';
import { RealClock, SystemRandom } from '@limpetbay/runtime';
import { InstanceListServer, StoreServer } from '@limpetbay/standins';

const clock = new RealClock();
let store: StoreServer;
let instances: InstanceListServer;
const entries: RunningEntry[] = [];

async function startOnFreePort(id: string): Promise<RunningEntry> {
  const settings = EntrySettings.parse({
    entry: {
      id,
      zone: 'a',
      address: '127.0.0.1:0',
      caller_host: '127.0.0.1',
      caller_port: 0,
      caller_url: 'http://127.0.0.1:0',
    },
    platform: { store: store.address, instances: instances.url },
    log: { level: 'silent' },
  });
  const entry = await startEntry(settings, clock, new SystemRandom());
  entries.push(entry);
  return entry;
}

beforeEach(async () => {
  store = new StoreServer({ clock });
  instances = new InstanceListServer({ clock });
  await store.start();
  await instances.start();
});

afterEach(async () => {
  for (const entry of entries.splice(0)) entry.kill();
  await store.stop();
  await instances.stop();
});

// Guards against an entry that can only listen on a port chosen before, which another process may
// take first, and against callers that are told port 0.
it('listens on a free port and lists the URL with that port', async () => {
  const [left, right] = await Promise.all([startOnFreePort('entry-1'), startOnFreePort('entry-2')]);
  expect(left.url).not.toBe(right.url);
  for (const { url } of [left, right]) {
    const answer = await fetch(`${url}/v1/entries`);
    expect(await answer.json()).toMatchObject({ entries: [{ url }] });
  }
});
