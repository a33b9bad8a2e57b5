import {
  Backoff,
  SuspectBreaker,
  SuspectRecord,
  buildRunName,
  isFingerprint,
  type Clock,
  type DirectTarget,
  type Era,
  type SuspectDecision,
  type RandomSource,
  type Revision,
  type Store,
  type StoreRecord,
  type TargetEnd,
} from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import { computeSaveDelay } from '../feed/computeSaveDelay.js';
import type { MirrorSnapshot } from '../feed/MirrorSnapshot.js';
import type { Timers } from '../ports/Timers.js';

interface SharedSuspectBreakerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly timers: Timers;
  readonly store: Store;
  /** Prefix of the store keys of suspects. */
  readonly prefix: string;
  readonly ownName: string;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Returns the place of this entry among those that save the same key; 0 is first. */
  readonly rankSelf: (key: string) => number;
  /** Sends a message to all other entries, without confirmation of delivery. */
  readonly sendToEntries: (message: PeerMessage) => void;
}

/** Suspects of one request; callers choose how many parts a prompt has. */
const MAX_SUSPECTS_PER_REQUEST = 17;

/** Suspects in one datagram, so that it fits into one packet. */
const MAX_SUSPECTS_PER_MESSAGE = 24;

/** Longest wait for the grant of a trial that is not required. */
const MAX_GRANT_WAIT_MS = 150;

/** Bounds of the delay after a failed call; during an outage all entries may have ends to save. */
const SAVE_RETRY_MS = { baseMs: 300, capMs: 2000 } as const;

/** Bounds of the random delay before an entry removes an expired record. */
const REMOVAL_DELAY_MS = { shortest: 0, longest: 20_000 } as const;

/** Bounds of the random delay after which an entry clears what another one suspects. */
const CLEAR_DELAY_MS = { shortest: 20, longest: 250 } as const;

/**
 * Keeps the circuit breakers of all entries in agreement. Datagrams tell the entries that run now
 * within milliseconds; the store keeps what entries must know that start later or missed them, and
 * decides which entry may send a request on trial.
 */
export class SharedSuspectBreaker {
  readonly #options: SharedSuspectBreakerOptions;

  readonly #breaker: SuspectBreaker;

  /** Suspects for which this entry is asking the store for a trial. */
  readonly #acquiring = new Set<string>();

  /** Suspects whose stored record is being written. */
  readonly #saving = new Set<string>();

  /** Suspects that are saved after a delay unless another entry saves them first. */
  readonly #scheduledSaves = new Set<string>();

  /** Scheduled clears of sound parts that others suspect; functions that cancel them. */
  readonly #clears = new Map<string, () => void>();

  /** Scheduled removals of records that are forgotten; functions that cancel them. */
  readonly #removals = new Map<string, () => void>();

  /** Suspects that are not yet reported to the other entries, by the end of their target. */
  readonly #reports = new Map<string, Set<string>>();

  /** Era of the revisions of stored records; undefined before the first full read. */
  #era: Era | undefined = undefined;

  #isClosed = false;

  constructor(options: SharedSuspectBreakerOptions) {
    this.#options = options;
    this.#breaker = new SuspectBreaker(options);
  }

  /** Decides whether a request that carries these suspects may be sent. */
  check(ids: readonly string[]): SuspectDecision {
    return this.#breaker.check(ids);
  }

  /** Returns whether a target has ended on one of these, without an answer that speaks for it. */
  hasEnds(ids: readonly string[]): boolean {
    return this.#breaker.hasEnds(ids);
  }

  /** Records that a target began to answer a request and did not end. */
  recordBegun(ids: readonly string[]): void {
    const cleared = this.#breaker.recordBegun(ids);
    if (cleared.length > 0) this.#announceSound(cleared, false);
  }

  /** Records that a target answered a request completely. */
  recordComplete(ids: readonly string[]): void {
    const cleared = this.#breaker.recordComplete(ids);
    if (cleared.length > 0) this.#announceSound(cleared, true);
  }

  /**
   * Records that a target ended while a request waited for its answer.
   *
   * @param ids what the request carries
   * @param progress how far the answer to the request was, as in `TargetEnd`
   */
  recordEnd(
    target: DirectTarget,
    ids: readonly string[],
    progress: Pick<TargetEnd, 'hadHead' | 'isMidway'>,
  ): void {
    const { clock, log, metrics } = this.#options;
    const at = clock.getWallTime().toISOString();
    const end: TargetEnd = { target: buildRunName(target), ...progress, at };
    const reported = this.#sampleSuspects(ids, end);
    metrics.increase('limpetbay_suspect_target_ends_total');
    log.warn('target ended while a request waited for its answer', {
      target: target.id,
      suspects: reported,
      ...progress,
    });
    if (reported.length === 0) return;
    this.#addEnd(end, reported);
    for (const id of reported) void this.#save(id);
    this.#reportEnd(end, reported);
  }

  /** Tells the other entries of an end; what several requests have found out goes together. */
  #reportEnd(end: TargetEnd, ids: readonly string[]): void {
    const key = `${end.target} ${end.hadHead} ${end.isMidway}`;
    const pending = this.#reports.get(key);
    if (pending !== undefined) {
      for (const id of ids) pending.add(id);
      return;
    }
    const reported = new Set(ids);
    this.#reports.set(key, reported);
    queueMicrotask(() => {
      this.#reports.delete(key);
      const suspects = [...reported];
      while (suspects.length > 0) {
        const message = { end, suspects: suspects.splice(0, MAX_SUSPECTS_PER_MESSAGE) };
        this.#options.sendToEntries({ kind: 'target_end', ...message });
      }
    });
  }

  /**
   * Asks for permission to send the only request with these suspects in the whole deployment. It
   * must be ended by `endTrial` if it was granted.
   *
   * @param isRequired false to wait for a short time only
   * @returns `unknown` if the store did not decide
   */
  async acquireTrial(
    ids: readonly string[],
    isRequired: boolean,
  ): Promise<'granted' | 'denied' | 'unknown'> {
    if (ids.some((id) => this.#acquiring.has(id))) return 'denied';
    for (const id of ids) this.#acquiring.add(id);
    const commit = this.#commitTrial(ids);
    let hasTimedOut = false;
    const settled = commit.then((grant) => {
      for (const id of ids) this.#acquiring.delete(id);
      if (hasTimedOut && grant === 'granted') this.endTrial(ids);
      return grant;
    });
    if (isRequired) return settled;
    return new Promise((resolve) => {
      const cancel = this.#options.timers.schedule(MAX_GRANT_WAIT_MS, () => {
        hasTimedOut = true;
        resolve('unknown');
      });
      void settled.then((grant) => {
        cancel();
        resolve(grant);
      });
    });
  }

  async #commitTrial(ids: readonly string[]): Promise<'granted' | 'denied' | 'unknown'> {
    const { store, ownName, log } = this.#options;
    const records = new Map<string, SuspectRecord>();
    const conditions: { key: string; revision: Revision | 0 }[] = [];
    const writes: { key: string; value: string }[] = [];
    for (const id of ids) {
      const suspect = this.#breaker.get(id);
      if (suspect === undefined) continue;
      const record = { ...this.#breaker.buildRecord(id), trial: ownName };
      records.set(id, record);
      conditions.push({ key: this.#buildKey(id), revision: suspect.revision });
      writes.push({ key: this.#buildKey(id), value: JSON.stringify(record) });
    }
    if (writes.length === 0) return 'granted';
    const result = await store.commit({ ...this.#getEra(), conditions, writes });
    if (result.err) {
      log.warn('the store granted no trial', { suspects: ids, cause: result.val.message });
      return 'unknown';
    }
    if (!result.val.committed) {
      for (const current of result.val.current) this.handleRecord(current);
      return 'denied';
    }
    for (const [id, record] of records) {
      this.#breaker.startTrial(id);
      this.#breaker.markSaved(id, result.val.revision, record);
    }
    log.report('trial of a request with suspects', { suspects: ids });
    return 'granted';
  }

  /** Ends a trial; what it showed must have been recorded before. */
  endTrial(ids: readonly string[]): void {
    for (const id of ids) {
      this.#breaker.endTrial(id);
      void this.#save(id);
    }
  }

  handlePeerMessage(message: PeerMessage): void {
    if (message.kind === 'target_end') {
      this.#addEnd(message.end, message.suspects);
      for (const id of message.suspects) this.#scheduleSave(id);
    } else if (message.kind === 'suspects_sound') {
      for (const id of message.suspects) this.#cancelClear(id);
      if (message.isComplete) this.#breaker.recordComplete(message.suspects);
      else this.#breaker.recordBegun(message.suspects);
    }
  }

  /** Handles all stored records after a full read. */
  handleSnapshot({ records, era, isRestored }: MirrorSnapshot): void {
    this.#era = era;
    if (isRestored) this.#breaker.beginEra();
    else {
      const stored = new Set(records.map(({ key }) => this.#parseKey(key)));
      for (const id of this.#breaker.list()) {
        if (!stored.has(id)) this.handleRemoval(this.#buildKey(id));
      }
    }
    for (const record of records) this.handleRecord(record);
    for (const id of this.#breaker.list()) this.#scheduleSave(id);
  }

  handleRecord({ key, value, revision }: StoreRecord): void {
    const id = this.#parseKey(key);
    const record = parseRecord(value);
    if (record === null) {
      this.#options.log.warn('invalid record of a suspect ignored', { key, revision });
      return;
    }
    if (this.#breaker.isSound(id, record.ends)) {
      this.#scheduleClear(id);
      return;
    }
    const countBefore = this.#breaker.get(id)?.count ?? 0;
    this.#breaker.applyRecord(id, record, revision);
    this.#logCount(id, countBefore);
    this.#scheduleSave(id);
  }

  handleRemoval(key: string): void {
    const id = this.#parseKey(key);
    this.#cancelClear(id);
    this.#cancelRemoval(id);
    this.#breaker.removeRecord(id);
    this.#scheduleSave(id);
  }

  /** Forgets what has long ended no target. */
  expire(): void {
    for (const id of this.#breaker.listExpired()) {
      const isStored = this.#breaker.get(id)?.revision !== 0;
      this.#breaker.clear(id);
      if (!isStored) continue;
      this.#options.log.report('no longer suspected to end targets', { suspect: id });
      this.#scheduleRemoval(id);
    }
  }

  close(): void {
    this.#isClosed = true;
    for (const cancel of this.#clears.values()) cancel();
    for (const cancel of this.#removals.values()) cancel();
  }

  /**
   * Chooses what an end makes suspect: the request, the parts that are suspected already, and of
   * the others a random choice, so that a caller cannot hide a part behind many new ones.
   */
  #sampleSuspects(ids: readonly string[], end: TargetEnd): string[] {
    const chosen: string[] = [];
    const others: string[] = [];
    for (const id of ids) {
      if (this.#breaker.isSound(id, [end])) continue;
      const isFirst = isFingerprint(id) || this.#breaker.get(id) !== undefined;
      (isFirst ? chosen : others).push(id);
    }
    while (chosen.length < MAX_SUSPECTS_PER_REQUEST && others.length > 0) {
      const index = Math.floor(this.#options.random.next() * others.length);
      chosen.push(...others.splice(index, 1));
    }
    return chosen.slice(0, MAX_SUSPECTS_PER_REQUEST);
  }

  #addEnd(end: TargetEnd, ids: readonly string[]): void {
    const countsBefore = new Map<string, number>();
    for (const id of ids) {
      if (this.#breaker.isSound(id, [end])) this.#scheduleClear(id);
      countsBefore.set(id, this.#breaker.get(id)?.count ?? 0);
    }
    for (const id of this.#breaker.recordEnd(end, ids)) {
      this.#logCount(id, countsBefore.get(id) ?? 0);
    }
  }

  /** Logs a suspect with more ends than before, except the first: each end has many of these. */
  #logCount(id: string, countBefore: number): void {
    const suspect = this.#breaker.get(id);
    if (suspect === undefined || suspect.count <= Math.max(1, countBefore)) return;
    const ends: string[] = [];
    for (const { target, at } of suspect.ends.values()) ends.push(`${target} ${at}`);
    const decision = this.#breaker.check([id]);
    this.#options.log.warn('suspected to end targets', {
      suspect: id,
      count: suspect.count,
      ends,
      decision: decision.kind,
      blockedMs: decision.kind === 'blocked' ? Math.round(decision.retryAfterMs) : 0,
    });
  }

  #announceSound(ids: readonly string[], isComplete: boolean): void {
    this.#options.log.report('cleared of the suspicion to end targets by answers', {
      suspects: ids,
      isComplete,
    });
    this.#options.sendToEntries({ kind: 'suspects_sound', suspects: [...ids], isComplete });
    for (const id of ids) void this.#removeRecord(id);
  }

  /** Clears a sound part that others suspect, unless another entry does so first. */
  #scheduleClear(id: string): void {
    if (this.#clears.has(id)) return;
    const cancel = this.#schedule(CLEAR_DELAY_MS, () => {
      this.#clears.delete(id);
      this.#announceSound([id], this.#breaker.hasCompleteAnswer(id));
    });
    this.#clears.set(id, cancel);
  }

  #cancelClear(id: string): void {
    this.#clears.get(id)?.();
    this.#clears.delete(id);
  }

  /** Saves what the store lacks and other entries know too, unless their writes arrive first. */
  #scheduleSave(id: string): void {
    if (this.#scheduledSaves.has(id) || !this.#breaker.shouldSave(id)) return;
    this.#scheduledSaves.add(id);
    const delayMs = computeSaveDelay(this.#options.rankSelf(this.#buildKey(id)));
    this.#schedule({ shortest: delayMs, longest: delayMs }, () => {
      this.#scheduledSaves.delete(id);
      void this.#save(id);
    });
  }

  /** Removes the record of a suspect that is forgotten, unless another entry does so first. */
  #scheduleRemoval(id: string): void {
    if (this.#removals.has(id)) return;
    const cancel = this.#schedule(REMOVAL_DELAY_MS, () => {
      this.#removals.delete(id);
      if (this.#breaker.get(id) === undefined) void this.#removeRecord(id);
    });
    this.#removals.set(id, cancel);
  }

  #cancelRemoval(id: string): void {
    this.#removals.get(id)?.();
    this.#removals.delete(id);
  }

  #schedule(delay: { shortest: number; longest: number }, run: () => void): () => void {
    const { timers, random } = this.#options;
    const delayMs = delay.shortest + random.next() * (delay.longest - delay.shortest);
    return timers.schedule(delayMs, () => {
      if (!this.#isClosed) run();
    });
  }

  /** Writes what is known about a suspect until the store holds it. */
  async #save(id: string): Promise<void> {
    if (this.#saving.has(id)) return;
    this.#saving.add(id);
    const { random } = this.#options;
    const backoff = new Backoff({ random, ...SAVE_RETRY_MS });
    // What the caller records in the same turn goes into the same write.
    await Promise.resolve();
    while (!this.#isClosed && this.#breaker.shouldSave(id)) {
      const hasAnswered = await this.#writeRecord(id);
      if (!hasAnswered) {
        await new Promise<void>((resolve) => {
          this.#options.timers.schedule(backoff.next(), resolve);
        });
      }
    }
    this.#saving.delete(id);
  }

  /** Writes the record of a suspect, or merges the one that was written meanwhile. */
  async #writeRecord(id: string): Promise<boolean> {
    const { store, log } = this.#options;
    const key = this.#buildKey(id);
    const record = this.#breaker.buildRecord(id);
    const revision = this.#breaker.get(id)?.revision ?? 0;
    const result = await store.commit({
      ...this.#getEra(),
      conditions: [{ key, revision }],
      writes: [{ key, value: JSON.stringify(record) }],
    });
    if (result.err) {
      log.warn('could not store a suspect; trying again', {
        suspect: id,
        cause: result.val.message,
      });
      return false;
    }
    if (!result.val.committed) this.#mergeCurrent(id, result.val.current);
    else if (this.#breaker.get(id) === undefined) void this.#removeRecord(id);
    else this.#breaker.markSaved(id, result.val.revision, record);
    return true;
  }

  #mergeCurrent(id: string, current: readonly StoreRecord[]): void {
    const [stored] = current;
    const record = stored === undefined ? null : parseRecord(stored.value);
    if (stored === undefined || record === null) this.#breaker.removeRecord(id);
    else this.#breaker.applyRecord(id, record, stored.revision);
  }

  /** Removes the record of a suspect; one that stays after a failure expires. */
  async #removeRecord(id: string): Promise<void> {
    const { store, log } = this.#options;
    const key = this.#buildKey(id);
    const result = await store.commit({ conditions: [], writes: [{ key, value: null }] });
    if (result.err) {
      log.warn('could not remove the record of a suspect', {
        suspect: id,
        cause: result.val.message,
      });
    }
  }

  /** Returns the era of a transaction with conditions on known revisions. */
  #getEra(): { readonly era?: Era } {
    return this.#era === undefined ? {} : { era: this.#era };
  }

  #buildKey(id: string): string {
    return `${this.#options.prefix}${id}`;
  }

  #parseKey(key: string): string {
    return key.slice(this.#options.prefix.length);
  }
}

function parseRecord(value: string): SuspectRecord | null {
  try {
    return SuspectRecord.parse(JSON.parse(value));
  } catch {
    return null;
  }
}
