import type { Result } from 'ts-results';
import type { Clock } from '../clock/Clock.js';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Err, Ok } from '../errors/results.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { Revision } from '../ids/Revision.js';
import type { ServiceName } from '../ids/ServiceName.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { Store } from '../store/Store.js';
import type { StoreRecord } from '../store/StoreRecord.js';
import { BatchWriter } from './BatchWriter.js';
import { buildClaimKey } from './buildClaimKey.js';
import type { Claim } from './Claim.js';
import type { ClaimCounts } from './ClaimCounts.js';
import type { ClaimEnd } from './ClaimEnd.js';
import { ClaimEntry } from './ClaimEntry.js';
import type { ClaimOptions } from './ClaimOptions.js';
import type { ClaimOutcome } from './ClaimOutcome.js';
import type { ClaimOwner } from './ClaimOwner.js';
import { ClaimRecord } from './ClaimRecord.js';
import type { ClaimRequest } from './ClaimRequest.js';
import type { ClaimDecision } from './ClaimDecision.js';
import type { ClaimWaiter } from './ClaimWaiter.js';
import { SharedLeases } from './SharedLeases.js';
import { OutcomeCache } from './OutcomeCache.js';
import type { OwnerView } from './OwnerView.js';
import { TokenBucket } from '../rate/TokenBucket.js';
import { defaultClaimOptions } from './defaultClaimOptions.js';

interface ClaimLedgerParts {
  readonly store: Store;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly service: ServiceName;
  /** This agent and its incarnation, recorded as the owner of its claims. */
  readonly owner: ClaimOwner;
  readonly owners: OwnerView;
  /** This agent's share of the service's store writes, writes per second. */
  readonly writesPerSecond: number;
  readonly options?: Partial<ClaimOptions>;
}

function describeUnconfirmed(): Failure {
  const message = 'the key could not be claimed at the store, so this request was not run';
  return { kind: 'store_unavailable', message, retryAfterMs: 1000 };
}

function describeTimeout(inProgress: boolean): Failure {
  return inProgress
    ? { kind: 'key_in_progress', message: 'an earlier request with this key is still running' }
    : { kind: 'deadline_exceeded', message: 'the deadline passed before the key was claimed' };
}

function describeReuse(): Failure {
  return { kind: 'key_reused', message: 'the key was used with another request' };
}

function describeUnreadable(): Failure {
  return { kind: 'outcome_unknown', message: 'the record of this key cannot be read' };
}

function getEndBytes(end: ClaimEnd): number {
  return end.type === 'stored' ? end.outcome.body.byteLength : 0;
}

function parseRecord(value: string): ClaimRecord | null {
  try {
    return ClaimRecord.parse(JSON.parse(value));
  } catch {
    return null;
  }
}

function extractEnd(record: ClaimRecord): ClaimEnd {
  if (record.state === 'stored') {
    const { status, headers } = record;
    const body = new Uint8Array(Buffer.from(record.body, 'base64'));
    return { type: 'stored', outcome: { status, headers, body } };
  }
  if (record.state === 'omitted') {
    return { type: 'omitted', status: record.status, bodyBytes: record.bodyBytes };
  }
  return { type: 'unknown' };
}

/** Writes that an agent may send at once after an idle time; adds up over the service's agents. */
const WRITE_BURST = 2;

/**
 * Manages an agent's claims on callers' idempotency keys. A keyed request is dispatched to its
 * target only after the store has confirmed its claim, so that no other agent runs it. Timeouts and
 * retries happen only in `tick()`, which must be called every few milliseconds.
 */
export class ClaimLedger {
  readonly #store: Store;

  readonly #clock: Clock;

  readonly #service: ServiceName;

  readonly #owners: OwnerView;

  readonly #options: ClaimOptions;

  readonly #budget: TokenBucket;

  readonly #writer: BatchWriter;

  readonly #leases: SharedLeases;

  readonly #outcomes: OutcomeCache;

  readonly #entries = new Map<string, ClaimEntry>();

  readonly #counts = { claimed: 0, replayed: 0, refused: 0, unstoredOutcomes: 0 };

  #owner: ClaimOwner;

  #operations = 0;

  /** Bytes of outcomes that are not yet written to the store. */
  #endingBytes = 0;

  #poll: { readonly sentMs: number } | null = null;

  constructor(parts: ClaimLedgerParts) {
    const { store, clock, random, service } = parts;
    this.#store = store;
    this.#clock = clock;
    this.#service = service;
    this.#owner = parts.owner;
    this.#owners = parts.owners;
    this.#options = { ...defaultClaimOptions, ...parts.options };
    this.#budget = new TokenBucket(clock, parts.writesPerSecond, WRITE_BURST);
    this.#writer = new BatchWriter(store, clock, random, this.#budget, this.#options);
    this.#leases = new SharedLeases(
      store,
      clock,
      random,
      this.#budget,
      this.#options,
      service,
      () => this.#handleLease(),
    );
    this.#outcomes = new OutcomeCache(clock, this.#options.cacheBytes);
  }

  /** Sets this agent's share of the service's store writes, writes per second. */
  setWriteShare(writesPerSecond: number): void {
    this.#budget.setRate(writesPerSecond);
  }

  /** Sets the incarnation for claims from now on, after the target was restarted. */
  setIncarnation(incarnation: Incarnation): void {
    this.#owner = { ...this.#owner, incarnation };
  }

  getCounts(): ClaimCounts {
    return { ...this.#counts, open: this.#entries.size };
  }

  /**
   * Answers without a store call, so that an agent can answer a repeated key before the request
   * takes a slot or is refused.
   *
   * @returns what `begin` would return if the outcome of the key is known here, else null
   */
  find(request: ClaimRequest): Result<ClaimDecision, Failure> | null {
    if (this.#checkRequest(request) !== null) return null;
    const storeKey = buildClaimKey(this.#service, request.workspace, request.key);
    const entry = this.#entries.get(storeKey);
    if (entry === undefined) {
      const cached = this.#outcomes.find(storeKey);
      return cached === null ? null : this.#answerEnd(cached.end, cached.bodyHash, request);
    }
    if (entry.end === null) return null;
    return this.#answerEnd(entry.end, entry.holder.request.bodyHash, request);
  }

  /**
   * Claims the key of a request, or finds the outcome of an earlier request with that key. Resolves
   * at the latest at the first `tick()` after the deadline.
   *
   * @returns `run`: call `startRun` and then dispatch the request; or `replay`
   *   Errors: `key_reused`, `key_expired`, `bad_request` (key time in the future),
   *   `key_in_progress`, `outcome_unknown` (an earlier request with this key may have run, or ran
   *   with an answer too large to store), `store_unavailable`, `overloaded`, `deadline_exceeded`.
   *   All but `key_in_progress` and `outcome_unknown` mean that this request was not run.
   */
  begin(request: ClaimRequest): Promise<Result<ClaimDecision, Failure>> {
    const refusal = this.#checkRequest(request);
    if (refusal !== null) {
      this.#counts.refused += 1;
      return Promise.resolve(refusal);
    }
    const storeKey = buildClaimKey(this.#service, request.workspace, request.key);
    return new Promise((resolve) => {
      const answer = this.find(request);
      if (answer !== null) {
        resolve(answer);
        return;
      }
      let entry = this.#entries.get(storeKey);
      const now = this.#clock.getNow();
      const waiter = {
        request,
        deadlineWallMs: this.#getWallMs() + request.deadlineAtMs - now,
        storeWaitEndMs: now + this.#options.storeWaitMs,
        resolve,
      };
      if (entry !== undefined) {
        entry.update({ waiters: [...entry.waiters, waiter] });
        this.#answerWaiters(entry);
      } else if (this.#isFull()) {
        this.#refuse(waiter, {
          kind: 'overloaded',
          message: 'too many requests with an idempotency key in progress',
        });
      } else if (this.#writer.isUnavailable() || this.#leases.isUnavailable()) {
        this.#refuse(waiter, describeUnconfirmed());
      } else {
        entry = this.#createEntry(storeKey, waiter);
        this.#writeClaim(entry, 0);
        this.#writer.tick();
      }
    });
  }

  /**
   * Must be called directly before the request is dispatched, in the same turn of the event loop.
   * Checks the deadline again, because the process may have been paused since `begin`.
   *
   * @returns an error `deadline_exceeded` if the request must no longer be dispatched
   */
  startRun(claim: Claim): Result<void, Failure> {
    const entry = this.#findHeld(claim);
    if (entry === null) return fail('deadline_exceeded', 'the claim was withdrawn at its deadline');
    if (this.#isPastDeadline(entry.holder)) {
      this.#writeRelease(entry);
      return fail('deadline_exceeded', 'the deadline passed before the request was dispatched');
    }
    entry.update({ state: 'running' });
    return Ok(undefined);
  }

  /**
   * Records the outcome of a claimed request. Duplicates at this agent are answered at once, those
   * at other agents after the next batch of writes.
   *
   * @param outcome the complete answer; null where it is not known whether or how the request ran
   */
  complete(claim: Claim, outcome: ClaimOutcome | null): void {
    const entry = this.#entries.get(claim.storeKey);
    if (entry?.claim !== claim || (entry.state !== 'running' && entry.state !== 'held')) return;
    const end = this.#buildEnd(outcome);
    entry.update({ state: 'ending', end });
    this.#endingBytes += getEndBytes(end);
    this.#writer.add({
      key: entry.storeKey,
      expected: entry.revision,
      value: this.#formatRecord(entry, end),
      lease: entry.lease,
      dueMs: this.#clock.getNow() + this.#options.outcomeDelayMs,
      persistent: true,
      onResult: (result) => {
        const isStored =
          result.type === 'written' ||
          (result.type === 'conflict' && this.#isOwnEnd(entry, result.record));
        if (!isStored) this.#counts.unstoredOutcomes += 1;
        this.#finishOwnClaim(entry);
      },
    });
    this.#answerWaiters(entry);
    this.#writer.tick();
  }

  /**
   * Withdraws a claim whose request was surely not dispatched. Refused after `startRun`, because
   * the key could then be claimed again although the request may run.
   *
   * @returns an error `outcome_unknown` if the claim stays
   */
  release(claim: Claim): Result<void, Failure> {
    const entry = this.#findHeld(claim);
    if (entry === null) return fail('outcome_unknown', 'the request may have been dispatched');
    this.#writeRelease(entry);
    return Ok(undefined);
  }

  /** Sends batches, polls claims of other agents, and refuses requests whose wait has timed out. */
  tick(): void {
    this.#leases.tick();
    this.#writer.tick();
    const now = this.#clock.getNow();
    for (const entry of [...this.#entries.values()]) {
      if (entry.state === 'held' && this.#isPastDeadline(entry.holder)) this.#writeRelease(entry);
      if (entry.waiters.length > 0) this.#expireWaiters(entry, now);
    }
    this.#pollOthers(now);
  }

  #checkRequest({ keyTimeMs, deadlineAtMs }: ClaimRequest) {
    const { retentionMs, skewMs } = this.#options;
    const ageMs = this.#getWallMs() - keyTimeMs;
    if (keyTimeMs > 0 && ageMs > retentionMs) {
      return fail('key_expired', 'the key is older than the retention time of keys');
    }
    if (keyTimeMs > 0 && ageMs < -skewMs) {
      return fail('bad_request', 'the issue time of the key is in the future');
    }
    if (this.#clock.getNow() >= deadlineAtMs) {
      return fail('deadline_exceeded', 'the deadline passed before the key was claimed');
    }
    return null;
  }

  #getWallMs(): number {
    return this.#clock.getWallTime().getTime();
  }

  #isPastDeadline({ request, deadlineWallMs }: ClaimWaiter): boolean {
    return this.#clock.getNow() >= request.deadlineAtMs || this.#getWallMs() >= deadlineWallMs;
  }

  #isFull(): boolean {
    const { maxKeys, cacheBytes } = this.#options;
    return this.#entries.size >= maxKeys || this.#endingBytes >= cacheBytes;
  }

  #createEntry(storeKey: string, holder: ClaimWaiter): ClaimEntry {
    const entry = new ClaimEntry(storeKey, holder);
    this.#entries.set(storeKey, entry);
    return entry;
  }

  #remove(entry: ClaimEntry): void {
    if (this.#entries.get(entry.storeKey) === entry) this.#entries.delete(entry.storeKey);
  }

  /** Queues the write of a claim for the first waiter. */
  #writeClaim(entry: ClaimEntry, revision: Revision | 0): void {
    const [first] = entry.waiters;
    if (first === undefined) {
      this.#remove(entry);
      return;
    }
    entry.update({ holder: first, otherClaim: null, revision, claim: null });
    const lease = this.#leases.find();
    if (lease === null) {
      entry.update({ state: 'leasing' });
      this.#leases.fetch();
      return;
    }
    this.#operations += 1;
    const operationId = `${this.#owner.instance}/${this.#owner.incarnation}/${this.#operations}`;
    const claimedWallMs = this.#getWallMs();
    entry.update({ state: 'creating', lease, claimedWallMs, operationId });
    const pendingWrite = this.#writer.add({
      key: entry.storeKey,
      expected: revision,
      value: this.#formatRecord(entry, 'claimed'),
      lease,
      dueMs: this.#clock.getNow(),
      persistent: false,
      onResult: (result) => {
        if (result.type === 'written') this.#grantClaim(entry, result.revision);
        else if (result.type === 'conflict') this.#handleRecord(entry, result.record);
        else this.#refuseWaiters(entry, result.type === 'rejected');
      },
    });
    entry.update({ pendingWrite });
  }

  #handleLease(): void {
    for (const entry of [...this.#entries.values()]) {
      if (entry.state === 'leasing') this.#writeClaim(entry, entry.revision);
    }
    this.#writer.tick();
  }

  #refuseWaiters(entry: ClaimEntry, hasLeaseEnded: boolean): void {
    if (hasLeaseEnded) this.#leases.remove(entry.lease);
    this.#remove(entry);
    for (const waiter of entry.waiters) this.#refuse(waiter, describeUnconfirmed());
  }

  /** Grants a claim that the store confirmed to the first waiter whose deadline has not passed. */
  #grantClaim(entry: ClaimEntry, revision: Revision): void {
    const { bodyHash } = entry.holder.request;
    const waiters = entry.waiters.filter((waiter) => {
      if (!this.#isPastDeadline(waiter)) return true;
      this.#refuse(waiter, describeTimeout(false));
      return false;
    });
    const holder = waiters.find(({ request }) => request.bodyHash === bodyHash);
    entry.update({
      revision,
      state: 'held',
      waiters: waiters.filter((waiter) => waiter !== holder),
    });
    if (holder === undefined) {
      this.#writeRelease(entry);
      return;
    }
    const { storeKey, operationId } = entry;
    const claim = { storeKey, operationId, deadlineAtMs: holder.request.deadlineAtMs };
    entry.update({ holder, claim });
    this.#counts.claimed += 1;
    holder.resolve(Ok({ type: 'run', claim }));
    this.#answerWaiters(entry);
  }

  /**
   * Writes a `released` record instead of deleting the key. An unanswered call that creates the
   * claim may still reach the store; if it found the key absent, the key would stay claimed without
   * a run.
   */
  #writeRelease(entry: ClaimEntry): void {
    entry.update({ state: 'releasing', claim: null });
    this.#writer.add({
      key: entry.storeKey,
      expected: entry.revision,
      value: this.#formatRecord(entry, 'released'),
      lease: entry.lease,
      dueMs: this.#clock.getNow(),
      persistent: true,
      onResult: (result) => {
        if (result.type === 'written') this.#writeClaim(entry, result.revision);
        else if (result.type === 'conflict') this.#handleRecord(entry, result.record);
        else this.#writeClaim(entry, 0);
      },
    });
    this.#writer.tick();
  }

  /** Continues with the record that the store holds for a key. */
  #handleRecord(entry: ClaimEntry, stored: StoreRecord | null): void {
    if (stored === null) {
      this.#writeClaim(entry, 0);
      return;
    }
    const record = parseRecord(stored.value);
    if (record === null) {
      for (const waiter of entry.waiters) this.#refuse(waiter, describeUnreadable());
      this.#remove(entry);
      return;
    }
    if (record.state === 'released') {
      this.#writeClaim(entry, stored.revision);
      return;
    }
    if (record.state !== 'claimed') {
      entry.update({ claimedWallMs: record.claimedWallMs });
      this.#answerWithEnd(entry, extractEnd(record), record.bodyHash, true);
      return;
    }
    if (entry.state === 'creating' && record.operationId === entry.operationId) {
      this.#grantClaim(entry, stored.revision);
      return;
    }
    entry.update({ otherClaim: record });
    if (this.#hasOwnerEnded(record)) {
      this.#answerWithEnd(entry, { type: 'unknown' }, record.bodyHash, false);
      return;
    }
    this.#schedulePoll(entry, stored.revision);
    this.#answerWaiters(entry);
  }

  #schedulePoll(entry: ClaimEntry, revision: Revision | 0): void {
    const [minMs, maxMs] = this.#options.pollMs;
    const pollMs = entry.state === 'watching' ? Math.min(maxMs, entry.pollMs * 2) : minMs;
    const nextPollMs = this.#clock.getNow() + pollMs;
    entry.update({ state: 'watching', revision, pollMs, nextPollMs });
  }

  /** Reads the claims of other agents that requests wait for, up to `maxBatch` in one call. */
  #pollOthers(now: number): void {
    if (this.#poll !== null && now - this.#poll.sentMs < this.#options.callTimeoutMs) return;
    const due: ClaimEntry[] = [];
    for (const entry of this.#entries.values()) {
      if (entry.state !== 'watching' || entry.nextPollMs > now) continue;
      due.push(entry);
      if (due.length === this.#options.maxBatch) break;
    }
    if (due.length === 0) return;
    const poll = { sentMs: now };
    this.#poll = poll;
    const conditions = due.map(({ storeKey, revision }) => ({ key: storeKey, revision }));
    void this.#store.commit({ conditions, writes: [] }).then((answer) => {
      if (this.#poll !== poll) return;
      this.#poll = null;
      const current = answer.ok ? answer.val.current : [];
      const records = new Map(current.map((record) => [record.key, record]));
      for (const entry of due) {
        // The entry may have been removed meanwhile, and replaced by a new one for the same key.
        if (entry.state !== 'watching' || this.#entries.get(entry.storeKey) !== entry) continue;
        if (answer.err) this.#schedulePoll(entry, entry.revision);
        else if (answer.val.committed) this.#handleUnchanged(entry);
        else this.#handleRecord(entry, records.get(entry.storeKey) ?? null);
      }
      this.#writer.tick();
    });
  }

  #handleUnchanged(entry: ClaimEntry): void {
    const { otherClaim } = entry;
    if (otherClaim !== null && this.#hasOwnerEnded(otherClaim)) {
      this.#answerWithEnd(entry, { type: 'unknown' }, otherClaim.bodyHash, false);
    } else {
      this.#schedulePoll(entry, entry.revision);
    }
  }

  /**
   * Whether the incarnation that owns a claim has ended. A later incarnation of the same agent has
   * no state of the claim. An owner whose end was never reported is detected by the deadline in the
   * record.
   */
  #hasOwnerEnded(record: ClaimRecord): boolean {
    const { instance, incarnation } = record.owner;
    if (instance === this.#owner.instance && incarnation < this.#owner.incarnation) return true;
    if (this.#owners.hasEnded(record.owner)) return true;
    if (record.state !== 'claimed') return false;
    return this.#getWallMs() > record.deadlineWallMs + this.#options.ownerGraceMs;
  }

  #expireWaiters(entry: ClaimEntry, now: number): void {
    const { state } = entry;
    const inProgress = state === 'held' || state === 'running' || state === 'watching';
    const waiters = entry.waiters.filter((waiter) => {
      if (this.#isPastDeadline(waiter)) this.#refuse(waiter, describeTimeout(inProgress));
      else if (!inProgress && now >= waiter.storeWaitEndMs) {
        this.#refuse(waiter, describeUnconfirmed());
      } else return true;
      return false;
    });
    entry.update({ waiters });
    if (waiters.length > 0) return;
    if (state === 'leasing' || state === 'watching') this.#remove(entry);
    if (state !== 'creating' || entry.pendingWrite === null) return;
    if (this.#writer.withdraw(entry.pendingWrite)) this.#remove(entry);
  }

  /** Answers the requests that need not wait any longer in the entry's current state. */
  #answerWaiters(entry: ClaimEntry): void {
    const { state, end } = entry;
    if (state === 'leasing' || state === 'creating' || state === 'releasing') return;
    const { bodyHash } =
      state === 'watching' && entry.otherClaim ? entry.otherClaim : entry.holder.request;
    const waiters = entry.waiters.filter((waiter) => {
      if (end !== null) waiter.resolve(this.#answerEnd(end, bodyHash, waiter.request));
      else if (waiter.request.bodyHash !== bodyHash) this.#refuse(waiter, describeReuse());
      else return true;
      return false;
    });
    entry.update({ waiters });
    if (state === 'watching' && waiters.length === 0) this.#remove(entry);
  }

  /** Answers all requests that wait for a key whose outcome was decided at another agent. */
  #answerWithEnd(entry: ClaimEntry, end: ClaimEnd, bodyHash: string, isCached: boolean): void {
    this.#remove(entry);
    if (isCached) this.#cacheEnd(entry, bodyHash, end);
    for (const waiter of entry.waiters) {
      waiter.resolve(this.#answerEnd(end, bodyHash, waiter.request));
    }
  }

  /** Removes an own claim whose outcome was stored or cannot be stored. */
  #finishOwnClaim(entry: ClaimEntry): void {
    const { end } = entry;
    this.#remove(entry);
    if (end === null) return;
    this.#endingBytes -= getEndBytes(end);
    this.#cacheEnd(entry, entry.holder.request.bodyHash, end);
  }

  #cacheEnd(entry: ClaimEntry, bodyHash: string, end: ClaimEnd): void {
    const { retentionMs } = this.#options;
    const remainingMs = entry.claimedWallMs + retentionMs - this.#getWallMs();
    this.#outcomes.set(entry.storeKey, bodyHash, end, this.#clock.getNow() + remainingMs);
  }

  #answerEnd(
    end: ClaimEnd,
    bodyHash: string,
    request: ClaimRequest,
  ): Result<ClaimDecision, Failure> {
    if (request.bodyHash !== bodyHash) {
      this.#counts.refused += 1;
      return Err(describeReuse());
    }
    if (end.type === 'stored') {
      this.#counts.replayed += 1;
      return Ok({ type: 'replay', outcome: end.outcome });
    }
    this.#counts.refused += 1;
    if (end.type === 'unknown') {
      return fail('outcome_unknown', 'an earlier request with this key may have been run');
    }
    return fail(
      'outcome_unknown',
      `an earlier request with this key was run and answered with status ${end.status}; ` +
        `its answer of ${end.bodyBytes} bytes is too large to be stored`,
    );
  }

  #refuse(waiter: ClaimWaiter, failure: Failure): void {
    this.#counts.refused += 1;
    waiter.resolve(Err(failure));
  }

  #findHeld(claim: Claim): ClaimEntry | null {
    const entry = this.#entries.get(claim.storeKey);
    return entry?.claim === claim && entry.state === 'held' ? entry : null;
  }

  #buildEnd(outcome: ClaimOutcome | null): ClaimEnd {
    if (outcome === null) return { type: 'unknown' };
    const bodyBytes = outcome.body.byteLength;
    if (bodyBytes <= this.#options.bodyBytes) return { type: 'stored', outcome };
    return { type: 'omitted', status: outcome.status, bodyBytes };
  }

  #formatRecord(entry: ClaimEntry, content: 'claimed' | 'released' | ClaimEnd): string {
    const { operationId, claimedWallMs, holder } = entry;
    const { bodyHash, attemptId } = holder.request;
    const common = { operationId, bodyHash, attemptId, owner: this.#owner, claimedWallMs };
    let record: ClaimRecord;
    if (content === 'claimed') {
      record = { state: 'claimed', ...common, deadlineWallMs: holder.deadlineWallMs };
    } else if (content === 'released') {
      record = { state: 'released', ...common };
    } else if (content.type === 'stored') {
      const { status, headers, body } = content.outcome;
      const text = Buffer.from(body).toString('base64');
      record = { state: 'stored', ...common, status, headers: [...headers], body: text };
    } else if (content.type === 'omitted') {
      const { status, bodyBytes } = content;
      record = { state: 'omitted', ...common, status, bodyBytes };
    } else {
      record = { state: 'unknown', ...common };
    }
    return JSON.stringify(record);
  }

  #isOwnEnd(entry: ClaimEntry, stored: StoreRecord | null): boolean {
    const record = stored === null ? null : parseRecord(stored.value);
    return record?.operationId === entry.operationId && record.state !== 'claimed';
  }
}
