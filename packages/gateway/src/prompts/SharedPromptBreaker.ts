import {
  Backoff,
  PromptBreaker,
  PromptRecord,
  buildRunName,
  type Clock,
  type DirectTarget,
  type Era,
  type PromptDecision,
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

interface SharedPromptBreakerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly timers: Timers;
  readonly store: Store;
  /** Prefix of the store keys of suspected parts. */
  readonly prefix: string;
  readonly ownName: string;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Returns the place of this entry among those that save the same key; 0 is first. */
  readonly rankSelf: (key: string) => number;
  /** Sends a message to all other entries, without confirmation of delivery. */
  readonly sendToEntries: (message: PeerMessage) => void;
}

/** Parts of one request that an end makes suspect; callers choose how many there are. */
const MAX_PARTS_PER_END = 16;

/** Bounds of the delay after a failed call; during an outage all entries may have ends to save. */
const SAVE_RETRY_MS = { baseMs: 300, capMs: 2000 } as const;

/** Bounds of the random delay before an entry removes an expired record. */
const REMOVAL_DELAY_MS = { shortest: 0, longest: 20_000 } as const;

/** Bounds of the random delay after which an entry clears a part that another one suspects. */
const CLEAR_DELAY_MS = { shortest: 20, longest: 250 } as const;

/**
 * Keeps the circuit breakers of all entries in agreement. Datagrams tell the entries that run now
 * within milliseconds; the store keeps what entries must know that start later or missed them, and
 * decides which entry may send a request on trial.
 */
export class SharedPromptBreaker {
  readonly #options: SharedPromptBreakerOptions;

  readonly #breaker: PromptBreaker;

  /** Parts for which this entry is asking the store for a trial. */
  readonly #acquiring = new Set<string>();

  /** Parts whose stored record is being written. */
  readonly #saving = new Set<string>();

  /** Parts that are saved after a delay unless another entry saves them first. */
  readonly #scheduledSaves = new Set<string>();

  /** Scheduled clears of sound parts that others suspect; functions that cancel them. */
  readonly #clears = new Map<string, () => void>();

  /** Scheduled removals of records of parts that are forgotten; functions that cancel them. */
  readonly #removals = new Map<string, () => void>();

  /** Era of the revisions of stored records; undefined before the first full read. */
  #era: Era | undefined = undefined;

  #isClosed = false;

  constructor(options: SharedPromptBreakerOptions) {
    this.#options = options;
    this.#breaker = new PromptBreaker(options);
  }

  /** Decides whether a request with these shared prompt parts may be sent. */
  check(parts: readonly string[]): PromptDecision {
    return this.#breaker.check(parts);
  }

  /** Records that a target began to answer a request and did not end. */
  recordBegun(parts: readonly string[]): void {
    const cleared = this.#breaker.recordBegun(parts);
    if (cleared.length > 0) this.#announceSound(cleared);
  }

  /**
   * Records that a target ended while a request waited for its answer.
   *
   * @param hadHead whether the head of the answer had arrived
   */
  recordEnd(target: DirectTarget, parts: readonly string[], hadHead: boolean): void {
    const { clock, log, metrics, sendToEntries } = this.#options;
    const reported = this.#sampleParts(parts);
    metrics.increase('limpetbay_prompt_target_ends_total');
    log.warn('target ended while a request waited for its answer', {
      target: target.id,
      parts: reported,
      hadHead,
    });
    const at = clock.getWallTime().toISOString();
    const end: TargetEnd = { target: buildRunName(target), hadHead, at };
    this.#addEnd(end, reported);
    for (const part of reported) void this.#save(part);
    if (reported.length > 0) sendToEntries({ kind: 'prompt_end', end, parts: reported });
  }

  /**
   * Asks for permission to send the only request with these parts in the whole deployment.
   *
   * @returns whether it was granted; `endTrial` must follow then
   */
  async acquireTrial(parts: readonly string[]): Promise<boolean> {
    if (parts.some((part) => this.#acquiring.has(part))) return false;
    for (const part of parts) this.#acquiring.add(part);
    const isGranted = await this.#commitTrial(parts);
    for (const part of parts) this.#acquiring.delete(part);
    return isGranted;
  }

  async #commitTrial(parts: readonly string[]): Promise<boolean> {
    const { store, ownName, log } = this.#options;
    const records = new Map<string, PromptRecord>();
    const conditions: { key: string; revision: Revision | 0 }[] = [];
    const writes: { key: string; value: string }[] = [];
    for (const part of parts) {
      const suspected = this.#breaker.get(part);
      if (suspected === undefined) continue;
      const record = { ...this.#breaker.buildRecord(part), trial: ownName };
      records.set(part, record);
      conditions.push({ key: this.#buildKey(part), revision: suspected.revision });
      writes.push({ key: this.#buildKey(part), value: JSON.stringify(record) });
    }
    if (writes.length === 0) return true;
    const result = await store.commit({ ...this.#getEra(), conditions, writes });
    if (result.err) {
      log.warn('trial not possible: the store failed', { parts, cause: result.val.message });
      return false;
    }
    if (!result.val.committed) {
      for (const current of result.val.current) this.handleRecord(current);
      return false;
    }
    for (const [part, record] of records) {
      this.#breaker.startTrial(part);
      this.#breaker.markSaved(part, result.val.revision, record);
    }
    log.report('trial of a request with suspected parts', { parts });
    return true;
  }

  /** Ends a trial; what it showed must have been recorded before. */
  endTrial(parts: readonly string[]): void {
    for (const part of parts) {
      this.#breaker.endTrial(part);
      void this.#save(part);
    }
  }

  handlePeerMessage(message: PeerMessage): void {
    if (message.kind === 'prompt_end') {
      this.#addEnd(message.end, message.parts);
      for (const part of message.parts) this.#scheduleSave(part);
    } else if (message.kind === 'prompt_sound') {
      for (const part of message.parts) this.#cancelClear(part);
      this.#breaker.recordBegun(message.parts);
    }
  }

  /** Handles all stored records after a full read. */
  handleSnapshot({ records, era, isRestored }: MirrorSnapshot): void {
    this.#era = era;
    if (isRestored) this.#breaker.beginEra();
    else {
      const stored = new Set(records.map(({ key }) => this.#parseKey(key)));
      for (const part of this.#breaker.listParts()) {
        if (!stored.has(part)) this.handleRemoval(this.#buildKey(part));
      }
    }
    for (const record of records) this.handleRecord(record);
    for (const part of this.#breaker.listParts()) {
      if (this.#breaker.get(part)?.isUnsaved === true) this.#scheduleSave(part);
    }
  }

  handleRecord({ key, value, revision }: StoreRecord): void {
    const part = this.#parseKey(key);
    const record = parseRecord(value);
    if (record === null) {
      this.#options.log.warn('invalid record of a prompt part ignored', { key, revision });
      return;
    }
    if (this.#breaker.isSound(part)) {
      this.#scheduleClear(part);
      return;
    }
    const countBefore = this.#breaker.get(part)?.count ?? 0;
    this.#breaker.applyRecord(part, record, revision);
    this.#logCount(part, countBefore);
    if (this.#breaker.get(part)?.isUnsaved === true) this.#scheduleSave(part);
  }

  handleRemoval(key: string): void {
    const part = this.#parseKey(key);
    this.#cancelClear(part);
    this.#cancelRemoval(part);
    this.#breaker.removeRecord(part);
    if (this.#breaker.get(part) !== undefined) this.#scheduleSave(part);
  }

  /** Forgets parts that have long ended no target. */
  expire(): void {
    for (const part of this.#breaker.listExpired()) {
      this.#breaker.clear(part);
      this.#options.log.report('prompt part no longer suspected', { part });
      this.#scheduleRemoval(part);
    }
  }

  close(): void {
    this.#isClosed = true;
    for (const cancel of this.#clears.values()) cancel();
    for (const cancel of this.#removals.values()) cancel();
  }

  /**
   * Chooses the parts that an end makes suspect. Those that are suspected already come first; the
   * others are drawn, so that a caller cannot hide a part behind many new ones.
   */
  #sampleParts(parts: readonly string[]): string[] {
    const chosen: string[] = [];
    const others: string[] = [];
    for (const part of parts) {
      if (this.#breaker.isSound(part)) continue;
      const isSuspected = this.#breaker.get(part) !== undefined;
      (isSuspected ? chosen : others).push(part);
    }
    while (chosen.length < MAX_PARTS_PER_END && others.length > 0) {
      const index = Math.floor(this.#options.random.next() * others.length);
      chosen.push(...others.splice(index, 1));
    }
    return chosen.slice(0, MAX_PARTS_PER_END);
  }

  #addEnd(end: TargetEnd, parts: readonly string[]): void {
    for (const part of parts) {
      if (this.#breaker.isSound(part)) this.#scheduleClear(part);
      const countBefore = this.#breaker.get(part)?.count ?? 0;
      if (this.#breaker.recordEnd(end, [part]).length === 0) continue;
      this.#logCount(part, countBefore);
    }
  }

  #logCount(part: string, countBefore: number): void {
    const suspected = this.#breaker.get(part);
    if (suspected === undefined || suspected.count <= countBefore) return;
    const ends: string[] = [];
    for (const { target, at } of suspected.ends.values()) ends.push(`${target} ${at}`);
    const decision = this.#breaker.check([part]);
    this.#options.log.warn('prompt part suspected to end targets', {
      part,
      count: suspected.count,
      ends,
      decision: decision.kind,
      blockedMs: decision.kind === 'blocked' ? Math.round(decision.retryAfterMs) : 0,
    });
  }

  #announceSound(parts: readonly string[]): void {
    this.#options.log.report('prompt parts cleared: answers with them began', { parts });
    this.#options.sendToEntries({ kind: 'prompt_sound', parts: [...parts] });
    for (const part of parts) void this.#removeRecord(part);
  }

  /** Clears a sound part that others suspect, unless another entry does so first. */
  #scheduleClear(part: string): void {
    if (this.#clears.has(part)) return;
    const cancel = this.#schedule(CLEAR_DELAY_MS, () => {
      this.#clears.delete(part);
      this.#announceSound([part]);
    });
    this.#clears.set(part, cancel);
  }

  #cancelClear(part: string): void {
    this.#clears.get(part)?.();
    this.#clears.delete(part);
  }

  /** Saves what other entries reported, unless their own writes arrive first. */
  #scheduleSave(part: string): void {
    if (this.#scheduledSaves.has(part)) return;
    this.#scheduledSaves.add(part);
    const delayMs = computeSaveDelay(this.#options.rankSelf(this.#buildKey(part)));
    this.#schedule({ shortest: delayMs, longest: delayMs }, () => {
      this.#scheduledSaves.delete(part);
      void this.#save(part);
    });
  }

  /** Removes the record of a part that is forgotten, unless another entry does so first. */
  #scheduleRemoval(part: string): void {
    if (this.#removals.has(part)) return;
    const cancel = this.#schedule(REMOVAL_DELAY_MS, () => {
      this.#removals.delete(part);
      if (this.#breaker.get(part) === undefined) void this.#removeRecord(part);
    });
    this.#removals.set(part, cancel);
  }

  #cancelRemoval(part: string): void {
    this.#removals.get(part)?.();
    this.#removals.delete(part);
  }

  #schedule(delay: { shortest: number; longest: number }, run: () => void): () => void {
    const { timers, random } = this.#options;
    const delayMs = delay.shortest + random.next() * (delay.longest - delay.shortest);
    return timers.schedule(delayMs, () => {
      if (!this.#isClosed) run();
    });
  }

  /** Writes what is known about a part until the store holds it. */
  async #save(part: string): Promise<void> {
    if (this.#saving.has(part)) return;
    this.#saving.add(part);
    const { random } = this.#options;
    const backoff = new Backoff({ random, ...SAVE_RETRY_MS });
    // What the caller records in the same turn goes into the same write.
    await Promise.resolve();
    while (!this.#isClosed && this.#breaker.get(part)?.isUnsaved === true) {
      const hasAnswered = await this.#writeRecord(part);
      if (!hasAnswered) {
        await new Promise<void>((resolve) => {
          this.#options.timers.schedule(backoff.next(), resolve);
        });
      }
    }
    this.#saving.delete(part);
  }

  /** Writes the record of a part, or merges the one that was written meanwhile. */
  async #writeRecord(part: string): Promise<boolean> {
    const { store, log } = this.#options;
    const key = this.#buildKey(part);
    const record = this.#breaker.buildRecord(part);
    const revision = this.#breaker.get(part)?.revision ?? 0;
    const result = await store.commit({
      ...this.#getEra(),
      conditions: [{ key, revision }],
      writes: [{ key, value: JSON.stringify(record) }],
    });
    if (result.err) {
      log.warn('could not store a suspected prompt part; trying again', {
        part,
        cause: result.val.message,
      });
      return false;
    }
    if (!result.val.committed) this.#mergeCurrent(part, result.val.current);
    else if (this.#breaker.get(part) === undefined) void this.#removeRecord(part);
    else this.#breaker.markSaved(part, result.val.revision, record);
    return true;
  }

  #mergeCurrent(part: string, current: readonly StoreRecord[]): void {
    const [stored] = current;
    const record = stored === undefined ? null : parseRecord(stored.value);
    if (stored === undefined || record === null) this.#breaker.removeRecord(part);
    else this.#breaker.applyRecord(part, record, stored.revision);
  }

  /** Removes the record of a part; one that stays after a failure expires. */
  async #removeRecord(part: string): Promise<void> {
    const { store, log } = this.#options;
    const key = this.#buildKey(part);
    const result = await store.commit({ conditions: [], writes: [{ key, value: null }] });
    if (result.err) {
      log.warn('could not remove the record of a prompt part', { part, cause: result.val.message });
    }
  }

  /** Returns the era of a transaction with conditions on known revisions. */
  #getEra(): { readonly era?: Era } {
    return this.#era === undefined ? {} : { era: this.#era };
  }

  #buildKey(part: string): string {
    return `${this.#options.prefix}${part}`;
  }

  #parseKey(key: string): string {
    return key.slice(this.#options.prefix.length);
  }
}

function parseRecord(value: string): PromptRecord | null {
  try {
    return PromptRecord.parse(JSON.parse(value));
  } catch {
    return null;
  }
}
