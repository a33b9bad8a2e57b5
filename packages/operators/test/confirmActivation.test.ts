import { expect, it } from 'vitest';
import { InstanceRecord, ManualClock, Ok, fail } from '@limpetbay/core';
import { confirmActivation } from '@limpetbay/operators';
import type { RevisionReport } from '@limpetbay/rpc';

function createInstance(id: string): InstanceRecord {
  return InstanceRecord.parse({ id, role: 'agent', zone: 'a', address: `${id}:1`, state: 'live' });
}

function createReport(id: string, revision: number, inForceMs: number): RevisionReport {
  return {
    self: { record: createInstance(id), sequence: 1 },
    revisions: new Map([['x', { revision, deleted: false, inForceMs }]]),
    state: 'fresh',
    ready: true,
    isRelay: false,
    followers: 0,
    zoneCount: 1,
    confirmationAgeMs: 0,
    outsideContactAgeMs: 0,
  };
}

// Guards against reporting instances as late only because they were polled late, and against missing
// an instance that activated the revision late or does not answer.
it('decides by the age of the revision which instances activated it in time', async () => {
  const clock = new ManualClock();
  let isPolled = false;
  const names = ['prompt', 'late', 'dead', 'old', 'newer'];
  const { confirmed, missing, lastMs } = await confirmActivation({
    service: 'x',
    revision: 7,
    instances: names.map(createInstance),
    clock,
    limitMs: 3000,
    sleep: async (delayMs) => clock.advance(delayMs),
    fetchReport: async (address) => {
      const [id = ''] = address.split(':');
      // All answers arrive after the limit.
      if (!isPolled) clock.advance(4000);
      isPolled = true;
      const now = clock.getNow();
      if (id === 'dead') return fail('timed_out', 'no answer');
      if (id === 'old') return Ok(createReport(id, 6, now));
      if (id === 'newer') return Ok(createReport(id, 8, 0));
      return Ok(createReport(id, 7, now - (id === 'late' ? 3500 : 20)));
    },
  });
  expect(confirmed).toBe(2);
  expect(lastMs).toBe(20);
  expect(missing.map(({ instance, reason }) => [instance.id, reason])).toEqual([
    ['late', 'in force only after 3500 ms'],
    ['dead', 'no answer at dead:1'],
    ['old', 'at revision 6'],
  ]);
});
