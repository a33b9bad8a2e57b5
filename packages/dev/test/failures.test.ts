import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { DevFleet, defaultFleetOptions } from '@limpetbay/dev';
import {
  listExpectedWords,
  sendBooking,
  sendBookingWithRetry,
  streamChat,
} from './support/callers.js';

let fleet: DevFleet;
let urls: string[];

beforeAll(async () => {
  fleet = new DevFleet({ ...defaultFleetOptions, logLevel: 'silent', leaveMs: 500 });
  await fleet.start();
  urls = [...fleet.entries.values()].map(({ url }) => url);
}, 30_000);

afterAll(() => fleet.stop());

describe('a streamed answer', () => {
  // Guards against a stream that ends as if complete although the engine crashed half-way, and
  // against tokens that are missing or duplicated at the point where it is resumed.
  it('is resumed on another rank after an engine crash, complete and without a gap', async () => {
    let wordCount = 0;
    const answer = await streamChat(urls[0]!, 'log summary', 40, () => {
      wordCount += 1;
      if (wordCount !== 10) return;
      const engine = fleet.engines.ranks.find((rank) => rank.countActive() > 0)!;
      engine.kill();
      setTimeout(() => {
        void engine.start();
      }, 200);
    });
    expect(answer.isComplete).toBe(true);
    expect(answer.words).toEqual(listExpectedWords('log summary', 40));
  });

  // Guards against answers that are sent to the wrong caller.
  it('is not mixed up with concurrent answers', async () => {
    const prompts = Array.from({ length: 24 }, (_, index) => `enquiry ${index}`);
    const answers = await Promise.all(
      prompts.map((prompt, index) => streamChat(urls[index % urls.length]!, prompt, 12)),
    );
    for (const [index, answer] of answers.entries()) {
      const words = listExpectedWords(prompts[index]!, 12);
      expect(answer).toEqual({ status: 200, words, isComplete: true, rest: '' });
    }
  });

  // Guards against an engine that keeps generating for a caller that has disconnected.
  it('is cancelled at the engine when its caller disconnects', async () => {
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

  // Guards against a retry of a request without a key that may have run.
  it('is reported as unknown and not run again when its connection breaks', async () => {
    setBehaviour('break_after_run');
    const result = await sendBooking(urls[0]!, 'gang-1');
    setBehaviour('answer');
    expect(result).toMatchObject({ status: 502, kind: 'outcome_unknown', run: 'unknown' });
    expect(fleet.runsByBooking.get('gang-1')).toBe(1);
  });

  // Guards against a second run of a keyed request, by a retry of the entry or of the caller.
  it('with a key is not run again after its connection broke', async () => {
    setBehaviour('break_after_run');
    const first = await sendBooking(urls[0]!, 'gang-2', 'key-2');
    setBehaviour('answer');
    const second = await sendBooking(urls[1]!, 'gang-2', 'key-2');
    expect(first.run).toBe('unknown');
    expect(second.run).toBe('unknown');
    expect(fleet.runsByBooking.get('gang-2')).toBe(1);
  });

  // Guards against keys that are only enforced within one entry or one target.
  it('with a key runs once when it is sent to all entries at the same time', async () => {
    const results = await Promise.all(
      urls.map((url) => sendBookingWithRetry(url, 'gang-3', 'key-3')),
    );
    expect(results.map(({ status, body }) => `${status} ${body}`)).toEqual(
      results.map(() => '201 {"booked":"gang-3","runs":1}'),
    );
    expect(results.filter(({ isReplayed }) => !isReplayed)).toHaveLength(1);
    expect(fleet.runsByBooking.get('gang-3')).toBe(1);
  });

  // Guards against a stored outcome that is returned for a different request.
  it('with a reused key and a different body is refused as not run', async () => {
    const result = await sendBooking(urls[2]!, 'gang-4', 'key-3');
    expect(result).toMatchObject({ status: 422, kind: 'key_reused', run: 'no' });
    expect(fleet.runsByBooking.has('gang-4')).toBe(false);
  });

  // Guards against a key that is treated as unused after the agent that claimed it was killed.
  it('stays unknown when its agent is killed while it runs', async () => {
    setBehaviour('hang');
    const first = sendBooking(urls[0]!, 'gang-5', 'key-5', { 'limpetbay-deadline-ms': '4000' });
    await sleep(300);
    for (const [id, agent] of fleet.agents) if (id.startsWith('bookings')) agent.kill();
    setBehaviour('answer');
    for (const [index, service] of fleet.services.entries()) {
      await fleet.startAgent(`bookings-${index}`, 'bookings', service.origin);
    }
    await sleep(3000);
    const second = await sendBookingWithRetry(urls[1]!, 'gang-5', 'key-5', {
      'limpetbay-deadline-ms': '4000',
    });
    expect([(await first).kind, second.kind]).toEqual(['outcome_unknown', 'outcome_unknown']);
    expect(fleet.runsByBooking.get('gang-5')).toBe(1);
  });

  // Guards against "not run" for a request that ran, and against a store outage that also stops
  // requests which do not need the store.
  it('with a new key is refused in a store outage, while other requests are served', async () => {
    fleet.store.setOutage(true);
    const refused = await sendBooking(urls[0]!, 'gang-6', 'key-6', {
      'limpetbay-deadline-ms': '8000',
    });
    const unkeyed = await sendBooking(urls[0]!, 'gang-7');
    const chat = await streamChat(urls[1]!, 'in an outage', 5);
    fleet.store.setOutage(false);
    expect(refused).toMatchObject({ status: 503, kind: 'store_unavailable', run: 'no' });
    expect(fleet.runsByBooking.has('gang-6')).toBe(false);
    expect(unkeyed.status).toBe(201);
    expect(chat.isComplete).toBe(true);
  });
});

/** Sends short prompts concurrently, spread over all entries. */
const sendShortPrompts = (count: number, label: string): Promise<unknown> =>
  Promise.all(
    Array.from({ length: count }, (_, index) =>
      streamChat(urls[index % 4]!, `${label} ${index}`, 2),
    ),
  );

describe('a zone that is evacuated', () => {
  // Guards against new requests in the zone, and against requests in progress that are cut off.
  it('finishes its requests, gets no new ones after 3 s and returns to service', async () => {
    const document = fleet.documents.get('canerota')!;
    const longAnswers = urls.map((url, index) => streamChat(url, `long ${index}`, 200));
    await sleep(200);
    await fleet.accept({ ...document, zones: { in: ['a'], out: ['b'] } } as typeof document);
    await sleep(3000);
    const inZoneB = fleet.engines.ranks.filter((_, index) => index % 2 === 1);
    const startedBefore = inZoneB.map((rank) => rank.startedRequests);
    await sendShortPrompts(40, 'q');
    expect(inZoneB.map((rank) => rank.startedRequests)).toEqual(startedBefore);
    for (const [index, answer] of (await Promise.all(longAnswers)).entries()) {
      expect(answer.isComplete).toBe(true);
      expect(answer.words).toEqual(listExpectedWords(`long ${index}`, 200));
    }
    await fleet.accept(document);
    let startedAfter = startedBefore;
    for (
      let round = 0;
      round < 80 && startedAfter.every((count, index) => count === startedBefore[index]);
      round += 1
    ) {
      await sendShortPrompts(8, 'r');
      startedAfter = inZoneB.map((rank) => rank.startedRequests);
    }
    expect(startedAfter.some((count, index) => count > startedBefore[index]!)).toBe(true);
  });
});
