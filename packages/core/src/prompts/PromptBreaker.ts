import type { Clock } from '../clock/Clock.js';
import type { Revision } from '../ids/Revision.js';
import type { PromptDecision } from './PromptDecision.js';
import type { PromptRecord } from './PromptRecord.js';
import { SoundParts } from './SoundParts.js';
import type { SuspectedPart } from './SuspectedPart.js';
import type { TargetEnd } from './TargetEnd.js';

interface PromptBreakerOptions {
  readonly clock: Clock;
  /** Name of this entry. */
  readonly ownName: string;
}

/** Ends after which requests with a part are sent one at a time. */
const TRIAL_ENDS = 2;

/** Ends after which requests with a part are blocked. */
const BLOCK_ENDS = 3;

/** How long a part stays blocked after its third end; doubles with each further one. */
const BASE_BLOCK_MS = 30_000;

const MAX_BLOCK_DOUBLINGS = 7;

/** A trial whose outcome is not known by then is void: its entry may be gone. */
const MAX_TRIAL_MS = 4000;

/** After this time, callers that met a trial may find out its outcome. */
const TRIAL_RETRY_AFTER_MS = 500;

/** How long a part remains suspected after it could be sent again. */
const RETENTION_MS = 60_000;

/** Callers choose the parts, so the memory of them is bounded. */
const MAX_SUSPECTED = 256;

const MAX_ENDS_PER_PART = 16;

/**
 * Circuit breaker for prompt parts that end targets. The requests that a target's end breaks off
 * include the one that caused it, if one did. A part that ends targets is in such a request every
 * time and never in an answer that began; any answer that begins therefore clears its parts.
 */
export class PromptBreaker {
  readonly #options: PromptBreakerOptions;

  readonly #sound: SoundParts;

  readonly #suspected = new Map<string, SuspectedPart>();

  constructor(options: PromptBreakerOptions) {
    this.#options = options;
    this.#sound = new SoundParts(options.clock);
  }

  check(parts: readonly string[]): PromptDecision {
    if (this.#suspected.size === 0) return { kind: 'allowed' };
    const onTrial: string[] = [];
    for (const part of parts) {
      const suspected = this.#suspected.get(part);
      if (suspected === undefined || suspected.count < TRIAL_ENDS) continue;
      const retryAfterMs = this.#computeBlockedMs(suspected);
      if (retryAfterMs > 0) {
        return { kind: 'blocked', part, ends: suspected.count, retryAfterMs };
      }
      onTrial.push(part);
    }
    return onTrial.length === 0 ? { kind: 'allowed' } : { kind: 'trial', parts: onTrial };
  }

  /** Returns whether an answer with the part began recently. */
  isSound(part: string): boolean {
    return this.#sound.has(part);
  }

  /** Records that an answer began. @returns the parts that were suspected until now */
  recordBegun(parts: readonly string[]): string[] {
    const cleared: string[] = [];
    for (const part of parts) {
      this.#sound.add(part);
      if (this.#suspected.delete(part)) cleared.push(part);
    }
    if (cleared.length > 0) this.#updateCounts();
    return cleared;
  }

  /**
   * Records the end of a target with requests that waited for their answers.
   *
   * @returns the parts for which it is new; without those that are known to be sound
   */
  recordEnd(end: TargetEnd, parts: readonly string[]): string[] {
    const added: string[] = [];
    for (const part of parts) if (this.#addEnd(part, end)) added.push(part);
    if (added.length > 0) this.#updateCounts();
    return added;
  }

  /** Merges a stored record. Its parts remain unsaved if more is known here. */
  applyRecord(part: string, record: PromptRecord, revision: Revision): void {
    const suspected = this.#getOrCreate(part);
    if (revision < suspected.revision) return;
    const stored = new Set(record.ends.map(({ target }) => target));
    for (const end of record.ends) this.#addEnd(part, end);
    const isOwnTrial = suspected.trial === this.#options.ownName;
    if (!isOwnTrial && suspected.trial !== record.trial) {
      // This entry has no trial, so a stored one of its name is from its earlier run.
      suspected.trial = record.trial === this.#options.ownName ? null : record.trial;
      suspected.trialSinceMs = this.#options.clock.getNow();
    }
    suspected.revision = revision;
    suspected.isUnsaved = [...suspected.ends.keys()].some((target) => !stored.has(target));
    suspected.isUnsaved ||= record.trial !== suspected.trial && !isOwnTrial;
    this.#updateCounts();
  }

  /** Handles that the store was restored from a copy, which may lack anything that is known here. */
  beginEra(): void {
    for (const suspected of this.#suspected.values()) {
      suspected.revision = 0;
      suspected.isUnsaved = true;
    }
  }

  /** Handles the removal of a stored record, which clears the part unless more is known here. */
  removeRecord(part: string): void {
    const suspected = this.#suspected.get(part);
    if (suspected === undefined) return;
    if (suspected.isUnsaved || suspected.trial === this.#options.ownName) suspected.revision = 0;
    else this.clear(part);
  }

  clear(part: string): void {
    if (this.#suspected.delete(part)) this.#updateCounts();
  }

  get(part: string): Readonly<SuspectedPart> | undefined {
    return this.#suspected.get(part);
  }

  listParts(): string[] {
    return [...this.#suspected.keys()];
  }

  /** Returns what the store should hold about a suspected part. */
  buildRecord(part: string): PromptRecord {
    const { ends, trial } = this.#suspected.get(part) as SuspectedPart;
    return { ends: [...ends.values()], trial };
  }

  /** Records that the store holds a record as it was built. */
  markSaved(part: string, revision: Revision, record: PromptRecord): void {
    const suspected = this.#suspected.get(part);
    if (suspected === undefined) return;
    suspected.revision = revision;
    suspected.isUnsaved =
      suspected.ends.size > record.ends.length || suspected.trial !== record.trial;
  }

  /** Starts a trial of this entry, once the store has accepted it. */
  startTrial(part: string): void {
    const suspected = this.#suspected.get(part);
    if (suspected === undefined) return;
    suspected.trial = this.#options.ownName;
    suspected.trialSinceMs = this.#options.clock.getNow();
  }

  /** Ends a trial of this entry. */
  endTrial(part: string): void {
    const suspected = this.#suspected.get(part);
    if (suspected?.trial !== this.#options.ownName) return;
    suspected.trial = null;
    suspected.isUnsaved = true;
  }

  /** Lists the parts that have ended no target for so long that they are no longer suspected. */
  listExpired(): string[] {
    const nowMs = this.#options.clock.getNow();
    const expired: string[] = [];
    for (const suspected of this.#suspected.values()) {
      const untilMs = suspected.lastEndMs + computeBlockMs(suspected.count) + RETENTION_MS;
      if (nowMs > untilMs) expired.push(suspected.part);
    }
    return expired;
  }

  #computeBlockedMs({ count, lastEndMs, trial, trialSinceMs }: SuspectedPart): number {
    const nowMs = this.#options.clock.getNow();
    const blockedMs = lastEndMs + computeBlockMs(count) - nowMs;
    if (blockedMs > 0) return blockedMs;
    return trial !== null && nowMs - trialSinceMs < MAX_TRIAL_MS ? TRIAL_RETRY_AFTER_MS : 0;
  }

  #addEnd(part: string, end: TargetEnd): boolean {
    if (this.#sound.has(part)) return false;
    const suspected = this.#getOrCreate(part);
    const known = suspected.ends.get(end.target);
    if (known !== undefined && (known.hadHead || !end.hadHead)) return false;
    if (known === undefined && suspected.ends.size >= MAX_ENDS_PER_PART) return false;
    suspected.ends.set(end.target, end);
    suspected.lastEndMs = this.#options.clock.getNow();
    suspected.isUnsaved = true;
    return true;
  }

  #getOrCreate(part: string): SuspectedPart {
    const existing = this.#suspected.get(part);
    if (existing !== undefined) return existing;
    if (this.#suspected.size >= MAX_SUSPECTED) this.#evict();
    const created: SuspectedPart = {
      part,
      ends: new Map(),
      lastEndMs: this.#options.clock.getNow(),
      count: 0,
      trial: null,
      trialSinceMs: 0,
      revision: 0,
      isUnsaved: false,
    };
    this.#suspected.set(part, created);
    return created;
  }

  /** Drops the part with the fewest ends, of several the oldest. */
  #evict(): void {
    let evicted: SuspectedPart | null = null;
    for (const suspected of this.#suspected.values()) {
      if (evicted === null || suspected.count < evicted.count) evicted = suspected;
    }
    if (evicted !== null) this.#suspected.delete(evicted.part);
  }

  /**
   * Counts the ends that speak against each part. Where a target had begun an answer, requests
   * that still waited in its queue did not end it; and an end that a blocked part explains does not
   * speak against the other parts of the same requests.
   */
  #updateCounts(): void {
    const begunTargets = new Set<string>();
    for (const { ends } of this.#suspected.values()) {
      for (const { target, hadHead } of ends.values()) if (hadHead) begunTargets.add(target);
    }
    const causes = new Map<string, string[]>();
    for (const suspected of this.#suspected.values()) {
      const targets: string[] = [];
      for (const { target, hadHead } of suspected.ends.values()) {
        if (hadHead || !begunTargets.has(target)) targets.push(target);
      }
      causes.set(suspected.part, targets);
    }
    for (const suspected of this.#suspected.values()) {
      suspected.count = countUnexplained(suspected.part, causes);
    }
  }
}

function computeBlockMs(ends: number): number {
  if (ends < BLOCK_ENDS) return 0;
  return BASE_BLOCK_MS * 2 ** Math.min(MAX_BLOCK_DOUBLINGS, ends - BLOCK_ENDS);
}

/** Counts the ends of a part that no part with more ends, and enough to be blocked, shares. */
function countUnexplained(part: string, causes: ReadonlyMap<string, readonly string[]>): number {
  const own = causes.get(part) ?? [];
  const explained = new Set<string>();
  for (const targets of causes.values()) {
    if (targets.length < BLOCK_ENDS || targets.length <= own.length) continue;
    for (const target of targets) explained.add(target);
  }
  let count = 0;
  for (const target of own) if (!explained.has(target)) count += 1;
  return count;
}
