import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { DevFleet, defaultFleetOptions } from '@limpetbay/dev';
import { book, bookUntilTaken, listExpectedWords, streamChat } from './support/callers.js';

let fleet: DevFleet;
let urls: string[];

beforeAll(async () => {
  fleet = new DevFleet({ ...defaultFleetOptions, logLevel: 'silent', leaveMs: 500 });
  await fleet.start();
  urls = [...fleet.entries.values()].map(({ url }) => url);
}, 30_000);

afterAll(() => fleet.stop());

describe('an answer that breaks', () => {
  // Guards against a stream that ends cleanly although the engine died half-way, and against
  // tokens that are lost or doubled where it is resumed.
  it('is resumed on another rank, whole and without a gap', async () => {
    let seen = 0;
    const answer = await streamChat(urls[0]!, 'log summary', 40, () => {
      seen += 1;
      if (seen !== 10) return;
      const busy = fleet.engines.ranks.find((rank) => rank.countActive() > 0)!;
      busy.kill();
      setTimeout(() => {
        void busy.start();
      }, 200);
    });
    expect(answer.isComplete).toBe(true);
    expect(answer.words).toEqual(listExpectedWords('log summary', 40));
  });

  // Guards against answers that reach the wrong caller.
  it('does not mix up answers that run side by side', async () => {
    const prompts = Array.from({ length: 24 }, (_, index) => `enquiry ${index}`);
    const answers = await Promise.all(
      prompts.map((prompt, index) => streamChat(urls[index % urls.length]!, prompt, 12)),
    );
    for (const [index, answer] of answers.entries()) {
      expect(answer.words).toEqual(listExpectedWords(prompts[index]!, 12));
    }
  });

  // Guards against generations that go on for callers who have left.
  it('is cancelled at the engine when its caller goes away', async () => {
    const controller = new AbortController();
    const response = await fetch(`${urls[0]!}/v1/chat/completions`, {
      method: 'POST',
      signal: controller.signal,
      headers: { 'content-type': 'application/json', 'limpetbay-workspace': 'estate-1' },
      body: JSON.stringify({
        model: 'canerota',
        stream: true,
        max_tokens: 600,
        messages: [{ role: 'user', content: 'endless' }],
      }),
    });
    expect(response.status).toBe(200);
    controller.abort();
    await sleep(1000);
    const active = fleet.engines.ranks.map((rank) => rank.countActive());
    expect(active.every((count) => count === 0)).toBe(true);
  });
});

describe('a booking', () => {
  const setBehaviour = (behaviour: 'answer' | 'hang' | 'break_before_run' | 'break_after_run') => {
    for (const service of fleet.services) service.behaviour = behaviour;
  };

  // Guards against a retry of a request that may have run.
  it('whose connection breaks is reported as unknown and not run again', async () => {
    setBehaviour('break_after_run');
    const result = await book(urls[0]!, 'gang-1');
    setBehaviour('answer');
    expect(result).toMatchObject({ status: 502, kind: 'outcome_unknown', run: 'unknown' });
    expect(fleet.bookings.get('gang-1')).toBe(1);
  });

  // Guards against a second run of a keyed request by the entry's own retry or by the caller's.
  it('with a key is not run again after its connection broke', async () => {
    setBehaviour('break_after_run');
    const first = await book(urls[0]!, 'gang-2', 'key-2');
    setBehaviour('answer');
    const second = await book(urls[1]!, 'gang-2', 'key-2');
    expect(first.run).toBe('unknown');
    expect(second.run).toBe('unknown');
    expect(fleet.bookings.get('gang-2')).toBe(1);
  });

  // Guards against keys that hold at one entry or one target only.
  it('with a key runs once, however many entries it is sent to at the same time', async () => {
    const results = await Promise.all(urls.map((url) => bookUntilTaken(url, 'gang-3', 'key-3')));
    expect(results.map(({ status, body }) => `${status} ${body}`)).toEqual(
      results.map(() => '201 {"booked":"gang-3","runs":1}'),
    );
    expect(results.filter(({ isReplayed }) => !isReplayed)).toHaveLength(1);
    expect(fleet.bookings.get('gang-3')).toBe(1);
  });

  // Guards against a stored outcome that answers another request.
  it('with a used key and another body is refused as not run', async () => {
    const result = await book(urls[2]!, 'gang-4', 'key-3');
    expect(result).toMatchObject({ status: 422, kind: 'key_reused', run: 'no' });
    expect(fleet.bookings.has('gang-4')).toBe(false);
  });

  // Guards against a key that is taken for free after the agent that held it died.
  it('whose agent dies while it runs stays unknown', async () => {
    setBehaviour('hang');
    const first = book(urls[0]!, 'gang-5', 'key-5', { 'limpetbay-deadline-ms': '4000' });
    await sleep(300);
    for (const [target, agent] of fleet.agents) if (target.startsWith('bookings')) agent.kill();
    setBehaviour('answer');
    for (const [index, service] of fleet.services.entries()) {
      await fleet.startAgent(`bookings-${index}`, 'bookings', service.origin);
    }
    await sleep(3000);
    const second = await bookUntilTaken(urls[1]!, 'gang-5', 'key-5', {
      'limpetbay-deadline-ms': '4000',
    });
    expect([(await first).kind, second.kind]).toEqual(['outcome_unknown', 'outcome_unknown']);
    expect(fleet.bookings.get('gang-5')).toBe(1);
  });

  // Guards against "not run" for a request that ran, and against an outage that stops everything.
  it('with a new key is refused in a store outage, while all else is served', async () => {
    fleet.store.setOutage(true);
    const refused = await book(urls[0]!, 'gang-6', 'key-6', { 'limpetbay-deadline-ms': '8000' });
    const unkeyed = await book(urls[0]!, 'gang-7');
    const chat = await streamChat(urls[1]!, 'in an outage', 5);
    fleet.store.setOutage(false);
    expect(refused).toMatchObject({ status: 503, kind: 'store_unavailable', run: 'no' });
    expect(fleet.bookings.has('gang-6')).toBe(false);
    expect(unkeyed.status).toBe(201);
    expect(chat.isComplete).toBe(true);
  });
});

/** Sends short questions to all entries at the same time. */
const askAll = (count: number, label: string): Promise<unknown> =>
  Promise.all(
    Array.from({ length: count }, (_, index) =>
      streamChat(urls[index % 4]!, `${label} ${index}`, 2),
    ),
  );

describe('a zone that is taken out', () => {
  // Guards against new work in the zone, and against requests in progress that are cut.
  it('finishes what it has, gets nothing new after 3 s and comes back', async () => {
    const document = fleet.documents.get('canerota')!;
    const long = urls.map((url, index) => streamChat(url, `long ${index}`, 200));
    await sleep(200);
    await fleet.accept({ ...document, zones: { in: ['a'], out: ['b'] } } as typeof document);
    await sleep(3000);
    const inZoneB = fleet.engines.ranks.filter((_, index) => index % 2 === 1);
    const before = inZoneB.map((rank) => rank.startedRequests);
    await askAll(40, 'q');
    expect(inZoneB.map((rank) => rank.startedRequests)).toEqual(before);
    for (const [index, answer] of (await Promise.all(long)).entries()) {
      expect(answer.isComplete).toBe(true);
      expect(answer.words).toEqual(listExpectedWords(`long ${index}`, 200));
    }
    await fleet.accept(document);
    let after = before;
    for (
      let round = 0;
      round < 80 && after.every((count, at) => count === before[at]);
      round += 1
    ) {
      await askAll(8, 'r');
      after = inZoneB.map((rank) => rank.startedRequests);
    }
    expect(after.some((count, index) => count > before[index]!)).toBe(true);
  });
});
