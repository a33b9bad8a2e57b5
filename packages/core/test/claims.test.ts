import { describe, expect, it } from 'vitest';
import {
  AttemptLog,
  ClaimLedger,
  ManualClock,
  OwnerDirectory,
  SeededRandom,
  hashRequest,
  type ClaimOptions,
  type ClaimOutcome,
  type ClaimOwner,
  type ClaimRequest,
  type ClaimStart,
  type Failure,
  type Incarnation,
  type InstanceId,
  type RequestId,
  type Result,
  type ServiceName,
  type Store,
  type Workspace,
} from '@limpetbay/core';
import { MemoryStore } from '@limpetbay/standins';

const workspace = 'estate' as Workspace;
const outcome: ClaimOutcome = { status: 201, headers: [], body: Buffer.from('gang 7 booked') };

class Bed {
  readonly clock = new ManualClock();

  readonly store = new MemoryStore(this.clock, new SeededRandom(1));

  readonly ended = new Set<string>();

  readonly ledgers: ClaimLedger[] = [];

  addLedger(instance: string, options: Partial<ClaimOptions> = {}, incarnation = 1): ClaimLedger {
    return this.addLedgerAt(this.store, instance, options, incarnation);
  }

  addLedgerAt(store: Store, instance: string, options: Partial<ClaimOptions>, incarnation = 1) {
    const ledger = new ClaimLedger({
      store,
      clock: this.clock,
      random: new SeededRandom(7),
      service: 'bookings' as ServiceName,
      owner: { instance: instance as InstanceId, incarnation: incarnation as Incarnation },
      owners: { hasEnded: (owner: ClaimOwner) => this.ended.has(owner.instance) },
      writesPerSecond: 1000,
      options,
    });
    this.ledgers.push(ledger);
    return ledger;
  }

  async run(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += 10) {
      this.clock.advance(10);
      this.store.tick();
      for (const ledger of this.ledgers) ledger.tick();
      await new Promise(setImmediate);
    }
  }

  build(key: string, change: Partial<ClaimRequest> = {}): ClaimRequest {
    const bodyHash = hashRequest('POST', '/bookings', Buffer.from('{}'));
    const deadlineAtMs = this.clock.getNow() + 10_000;
    return { workspace, key, keyTimeMs: 0, bodyHash, attemptId: 'r1#1', deadlineAtMs, ...change };
  }

  async begin(ledger: ClaimLedger, request: ClaimRequest) {
    let result: Result<ClaimStart, Failure> | null = null;
    void ledger.begin(request).then((settled) => {
      result = settled;
    });
    for (let i = 0; i < 2000 && result === null; i += 1) await this.run(10);
    return result as unknown as Result<ClaimStart, Failure>;
  }

  async start(ledger: ClaimLedger, key: string) {
    const begun = (await this.begin(ledger, this.build(key))).unwrap();
    if (begun.type !== 'run') throw new Error('the key was not claimed');
    return begun.claim;
  }
}

function readKind(result: Result<unknown, Failure>): string {
  return result.ok ? 'ok' : result.val.kind;
}

describe('ClaimLedger', () => {
  // Guards against a second run of a booking that the caller repeats at another target.
  it('replays a stored outcome at another agent', async () => {
    const bed = new Bed();
    const [first, second] = [bed.addLedger('a'), bed.addLedger('b')];
    const claim = await bed.start(first, 'k');
    expect(first.startRun(claim).ok).toBe(true);
    first.complete(claim, outcome);
    await bed.run(50);
    const again = (await bed.begin(second, bed.build('k'))).unwrap();
    expect(again.type === 'replay' && Buffer.from(again.outcome.body).toString()).toBe(
      'gang 7 booked',
    );
  });

  // Guards against one caller's key replaying the answer to a different request.
  it('refuses a key with another body', async () => {
    const bed = new Bed();
    const [first, second] = [bed.addLedger('a'), bed.addLedger('b')];
    await bed.start(first, 'k');
    const other = { bodyHash: 'other' };
    expect(readKind(await bed.begin(first, bed.build('k', other)))).toBe('key_reused');
    expect(readKind(await bed.begin(second, bed.build('k', other)))).toBe('key_reused');
  });

  // Guards against a duplicate that runs, or waits for ever, while the first request still runs.
  it('lets a duplicate wait for the outcome, and within its deadline only', async () => {
    const bed = new Bed();
    const [first, second] = [bed.addLedger('a'), bed.addLedger('b')];
    const claim = await bed.start(first, 'k');
    first.startRun(claim);
    const short = { deadlineAtMs: bed.clock.getNow() + 300 };
    expect(readKind(await bed.begin(second, bed.build('k', short)))).toBe('key_in_progress');
    const waiting = bed.begin(second, bed.build('k'));
    first.complete(claim, outcome);
    expect((await waiting).unwrap().type).toBe('replay');
  });

  // Guards against a second run after the agent that may have run the request was lost.
  it('answers outcome_unknown for ever when the owner is gone', async () => {
    const bed = new Bed();
    const [first, second] = [bed.addLedger('a'), bed.addLedger('b')];
    first.startRun(await bed.start(first, 'k'));
    bed.ledgers.shift();
    bed.ended.add('a');
    for (let i = 0; i < 3; i += 1) {
      expect(readKind(await bed.begin(second, bed.build('k')))).toBe('outcome_unknown');
      await bed.run(1000);
    }
    const reborn = bed.addLedger('a', {}, 2);
    expect(readKind(await bed.begin(reborn, bed.build('k')))).toBe('outcome_unknown');
  });

  // Guards against a key that is blocked, or run twice, because the store's answer was lost.
  it('settles a claim whose answer was lost by its operation id', async () => {
    const bed = new Bed();
    const first = bed.addLedger('a');
    await bed.start(first, 'warm-up');
    bed.store.dropAnswers(1);
    const claim = await bed.start(first, 'k');
    expect(first.startRun(claim).ok).toBe(true);
    bed.store.dropAnswers(1);
    first.complete(claim, outcome);
    await bed.run(500);
    expect(first.getCounts()).toMatchObject({ open: 1, lostOutcomes: 0 });
  });

  // Guards against one contested key failing the other claims of its batch.
  it('claims the other keys of a batch with a conflict', async () => {
    const bed = new Bed();
    const [first, second] = [bed.addLedger('a'), bed.addLedger('b')];
    first.startRun(await bed.start(first, 'k0'));
    bed.store.setFaults({ latencyMs: [20, 20] });
    const before = bed.store.getCounts().writes;
    const short = { deadlineAtMs: bed.clock.getNow() + 500 };
    const results = await Promise.all(
      [0, 1, 2, 3].map((index) => bed.begin(second, bed.build(`k${index}`, short))),
    );
    expect(results.map(readKind)).toEqual(['key_in_progress', 'ok', 'ok', 'ok']);
    expect(bed.store.getCounts().writes - before).toBeLessThanOrEqual(8);
  });

  // Guards against a look at a key that is answered after its waiters left and removes the claim that
  // a later request has begun meanwhile.
  it('keeps a new claim when an old look at the same key is answered', async () => {
    const bed = new Bed();
    const [first, second] = [bed.addLedger('a'), bed.addLedger('b')];
    const claim = await bed.start(first, 'k');
    await bed.start(second, 'warm-up');
    const short = { deadlineAtMs: bed.clock.getNow() + 200 };
    const waiting = second.begin(bed.build('k', short));
    await bed.run(10);
    bed.store.setFaults({ latencyMs: [400, 400] });
    first.release(claim);
    await bed.run(300);
    expect(readKind(await waiting)).toBe('key_in_progress');
    expect(second.startRun(await bed.start(second, 'k')).ok).toBe(true);
  });

  // Guards against a late run by an agent that was paused between its claim and the hand-over.
  it('withdraws a claim whose deadline passed before the hand-over', async () => {
    const bed = new Bed();
    const [first, second] = [bed.addLedger('a'), bed.addLedger('b')];
    const claim = await bed.start(first, 'k');
    bed.clock.advance(60_000);
    expect(readKind(first.startRun(claim))).toBe('deadline_exceeded');
    await bed.run(100);
    expect((await bed.begin(second, bed.build('k'))).unwrap().type).toBe('run');
  });

  // Guards against a free key for a request that may be running.
  it('does not release a claim after the hand-over', async () => {
    const bed = new Bed();
    const first = bed.addLedger('a');
    const claim = await bed.start(first, 'k');
    first.startRun(claim);
    expect(readKind(first.release(claim))).toBe('outcome_unknown');
  });

  // Guards against runs without a claim, and against lost replays, while the store is out.
  it('refuses new keys and replays known ones in an outage', async () => {
    const bed = new Bed();
    const first = bed.addLedger('a');
    const claim = await bed.start(first, 'k');
    first.startRun(claim);
    first.complete(claim, outcome);
    await bed.run(50);
    bed.store.setFaults({ outage: 'down' });
    expect(first.find(bed.build('k'))?.ok).toBe(true);
    expect(first.find(bed.build('new'))).toBeNull();
    expect(readKind(await bed.begin(first, bed.build('new')))).toBe('store_unavailable');
    expect((await bed.begin(first, bed.build('k'))).unwrap().type).toBe('replay');
    bed.store.setFaults({ outage: 'silent' });
    expect(readKind(await bed.begin(first, bed.build('other')))).toBe('store_unavailable');
  });

  // Guards against a truncated replay, and against a second run of a request with a large answer.
  it('says that a request was run when its answer is too large to keep', async () => {
    const bed = new Bed();
    const [first, second] = [bed.addLedger('a'), bed.addLedger('b')];
    const claim = await bed.start(first, 'k');
    first.startRun(claim);
    first.complete(claim, { ...outcome, body: new Uint8Array(70_000) });
    await bed.run(50);
    const again = await bed.begin(second, bed.build('k'));
    expect(again.err && again.val.message).toMatch(/was run and answered with status 201/);
  });

  // Guards against a run of a key that the store has already forgotten.
  it('refuses a key that is older than the retention', async () => {
    const bed = new Bed();
    const first = bed.addLedger('a');
    const wallMs = bed.clock.getWallTime().getTime();
    const old = bed.build('k', { keyTimeMs: wallMs - 86_400_001 });
    expect(readKind(await bed.begin(first, old))).toBe('key_expired');
    const future = bed.build('k', { keyTimeMs: wallMs + 3_600_000 });
    expect(readKind(await bed.begin(first, future))).toBe('bad_request');
  });

  // Guards against a lease for each key, which the store's call rate does not allow, and against
  // keys that are forgotten before their retention ends.
  it('keeps keys for the retention with few shared leases', async () => {
    const bed = new Bed();
    const ledgers = [bed.addLedger('a'), bed.addLedger('b')];
    for (let hour = 0; hour < 23; hour += 1) {
      for (const [index, ledger] of ledgers.entries()) {
        const claim = await bed.start(ledger, `k${hour}/${index}`);
        ledger.startRun(claim);
        ledger.complete(claim, outcome);
      }
      await bed.run(50);
      bed.clock.advance(3_600_000);
      bed.store.tick();
    }
    expect(bed.store.getLeaseCount()).toBeLessThanOrEqual(25);
    expect(bed.store.listRecords('limpetbay/claims/')).toHaveLength(46);
    bed.clock.advance(5 * 3_600_000);
    bed.store.tick();
    expect(bed.store.listRecords('limpetbay/claims/').length).toBeLessThan(46);
  });

  // Guards against a call at the store for each tick or request while a lease cannot be fetched, and
  // against agents that never fetch it afterwards.
  it('fetches a missing lease with a backoff and recovers', async () => {
    const bed = new Bed();
    const first = bed.addLedger('a');
    await bed.start(first, 'k');
    bed.store.setFaults({ outage: 'down' });
    bed.clock.advance(3_600_000);
    const before = bed.store.getCounts().reads;
    expect(readKind(await bed.begin(first, bed.build('k1')))).toBe('store_unavailable');
    await bed.run(10_000);
    for (let i = 0; i < 50; i += 1) {
      expect(readKind(await bed.begin(first, bed.build(`n${i}`)))).toBe('store_unavailable');
    }
    expect(bed.store.getCounts().reads - before).toBeLessThan(60);
    bed.store.setFaults({ outage: 'none' });
    await bed.run(1100);
    expect((await bed.begin(first, bed.build('k2'))).unwrap().type).toBe('run');
  });
});

describe('OwnerDirectory', () => {
  // Guards against duplicates that wait for a lost agent, and against taking an agent that the
  // lagging instance list does not show yet for a lost one.
  it('knows ended lives by incarnation and by the instance list', () => {
    const directory = new OwnerDirectory();
    const instance = 'a' as InstanceId;
    const [first, second] = [1 as Incarnation, 2 as Incarnation];
    directory.acceptInstances(['b' as InstanceId]);
    expect(directory.hasEnded({ instance, incarnation: first })).toBe(false);
    directory.learn(instance, second);
    directory.learn(instance, first);
    expect(directory.hasEnded({ instance, incarnation: first })).toBe(true);
    expect(directory.hasEnded({ instance, incarnation: second })).toBe(false);
    directory.acceptInstances([instance]);
    directory.acceptInstances([]);
    expect(directory.hasEnded({ instance, incarnation: second })).toBe(true);
  });
});

describe('AttemptLog', () => {
  const attempt = {
    requestId: 'r1' as RequestId,
    attempt: 1,
    incarnation: 5 as Incarnation,
    repeatable: false,
    idempotencyKey: '',
    deadlineMs: 1000,
  };

  // Guards against a second run of an attempt that the network delivers twice, also after a restart
  // of the target beside the agent, where a refusal would say that the first delivery was not run.
  it('tells a second delivery from the first, before it looks at the incarnation', () => {
    const log = new AttemptLog(new ManualClock(), 5 as Incarnation);
    expect(log.accept(attempt).val).toBe('first');
    expect(log.accept(attempt).val).toBe('duplicate');
    log.setIncarnation(6 as Incarnation);
    expect(log.accept(attempt).val).toBe('duplicate');
  });

  // Guards against a run by a new life of the target of what its earlier life may have run.
  it('refuses an unrepeatable attempt that names no or another life', () => {
    const log = new AttemptLog(new ManualClock(), 6 as Incarnation);
    expect(readKind(log.accept(attempt))).toBe('stale_incarnation');
    expect(readKind(log.accept({ ...attempt, incarnation: 0 as Incarnation }))).toBe(
      'stale_incarnation',
    );
    expect(log.accept({ ...attempt, repeatable: true }).val).toBe('first');
  });

  // Guards against memory without bound, and against forgetting an attempt too early to make room.
  it('forgets attempts after their time only, and refuses new ones when it is full', () => {
    const clock = new ManualClock();
    const log = new AttemptLog(clock, 5 as Incarnation, { delayMs: 500, maxAttempts: 2 });
    log.accept(attempt);
    log.accept({ ...attempt, attempt: 2 });
    expect(readKind(log.accept({ ...attempt, attempt: 3 }))).toBe('overloaded');
    clock.advance(1499);
    expect(log.accept(attempt).val).toBe('duplicate');
    clock.advance(1);
    log.tick();
    expect(log.getSize()).toBe(0);
  });
});
