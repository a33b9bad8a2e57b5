import { beforeEach, describe, expect, it } from 'vitest';
import { ManualClock, type Clock } from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import { MetricRegistry } from '@limpetbay/runtime';
import { SharedRates } from '../src/index.js';

const KEEPER = { name: 'keeper', peerAddress: '10.0.0.2:7340' };

const RESTART_MS = 1000;

const KEY = 'target-2';

function settlePromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

describe('SharedRates', () => {
  let sent: Extract<PeerMessage, { kind: 'rate_request' }>[];

  beforeEach(() => {
    sent = [];
  });

  /** Starts an entry that knows the keeper only, which is asked first for the key. */
  function startEntry(clock: Clock): SharedRates {
    const rates = new SharedRates({
      clock,
      timers: { schedule: () => () => {} },
      ownName: 'entry',
      entries: { listEntries: () => [KEEPER] as never, isSettled: () => true },
      log: { report: () => {}, warn: () => {}, alert: () => {} },
      metrics: new MetricRegistry(),
      sendToEntry: (message) => {
        if (message.kind === 'rate_request') sent.push(message);
      },
    });
    return rates;
  }

  // Guards against more requests to a limited target than it takes: a keeper that was paused grants
  // what the earlier process of the entry asked for, and the next process sends another request for it.
  it('does not take the answer to an earlier process for one of its own', async () => {
    const clock = new ManualClock();
    void startEntry(clock).acquire(KEY, 1);
    clock.advance(RESTART_MS);
    const restarted = startEntry(clock);
    let grant: unknown = null;
    const acquired = restarted.acquire(KEY, 1).then((answer) => {
      grant = answer;
    });
    const [earlier, later] = sent;
    expect(sent).toHaveLength(2);
    const answer = { kind: 'rate_answer', isGranted: true, retryAfterMs: 0 } as const;
    restarted.handlePeerMessage({ ...answer, id: earlier?.id ?? 0 }, KEEPER.peerAddress);
    await settlePromises();
    expect(grant).toBeNull();
    restarted.handlePeerMessage({ ...answer, id: later?.id ?? 0 }, KEEPER.peerAddress);
    await acquired;
    expect(grant).toMatchObject({ isGranted: true });
  });
});
