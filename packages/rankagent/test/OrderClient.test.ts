import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { PeerMessage } from '@limpetbay/rpc';
import { OrderClient } from '../src/index.js';
import { SimTimers } from './support/SimTimers.js';

const AGENT = '10.0.0.1:7340';

const CONTENT = { kind: 'order', epoch: 1, order: { operation: 'go', step: 4 } } as const;

describe('OrderClient', () => {
  const sent: PeerMessage[] = [];
  let timers: SimTimers;
  let orders: OrderClient;

  beforeEach(() => {
    sent.length = 0;
    timers = new SimTimers();
    timers.install();
    orders = new OrderClient(timers, (message) => sent.push(message));
  });

  afterEach(() => timers.uninstall());

  function answerLast(): void {
    const last = sent[sent.length - 1];
    if (last?.kind === 'order') orders.handleAnswer(last.id, 'done');
  }

  it('repeats an unanswered order once, after twice the time, and then reports it', async () => {
    const answer = orders.send(AGENT, CONTENT);
    await timers.advance(79);
    expect(sent).toHaveLength(1);
    await timers.advance(80);
    expect(sent).toHaveLength(2);
    expect(sent[1]).toEqual(sent[0]);
    await timers.advance(100);
    expect(await answer).toBeNull();
    expect(sent).toHaveLength(2);
  });

  // Guards against orders that are repeated on a full link as long as answers take longer than usual.
  it('waits longer for agents whose answers took long', async () => {
    for (let order = 0; order < 8; order += 1) {
      const answer = orders.send(AGENT, CONTENT);
      await timers.advance(75);
      answerLast();
      await answer;
    }
    void orders.send(AGENT, CONTENT);
    await timers.advance(82);
    expect(sent).toHaveLength(9);
    const other = orders.send('10.0.0.2:7340', CONTENT);
    await timers.advance(81);
    expect(sent.length).toBeGreaterThan(10);
    await timers.advance(1000);
    expect(await other).toBeNull();
  });

  it('accepts the answer to either transmission', async () => {
    const answer = orders.send(AGENT, CONTENT);
    await timers.advance(100);
    expect(sent).toHaveLength(2);
    answerLast();
    expect(await answer).toBe('done');
  });
});
