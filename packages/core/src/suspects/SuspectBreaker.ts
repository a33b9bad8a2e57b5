import type { Clock } from '../clock/Clock.js';
import type { Revision } from '../ids/Revision.js';
import type { SuspectDecision } from './SuspectDecision.js';
import type { SuspectRecord } from './SuspectRecord.js';
import { SoundSuspects } from './SoundSuspects.js';
import { isFingerprint } from './isFingerprint.js';
import type { Suspect } from './Suspect.js';
import type { TargetEnd } from './TargetEnd.js';

interface SuspectBreakerOptions {
  readonly clock: Clock;
  /** Name of this entry. */
  readonly ownName: string;
}

/** Ends after which requests with a suspect are sent one at a time; one less if unanswered. */
const TRIAL_ENDS = 2;

/** Ends after which requests with a suspect are blocked; one less if unanswered. */
const BLOCK_ENDS = 3;

/** Ends from which on the store holds a suspect; an ordinary crash makes many with one end. */
const MIN_STORED_ENDS = 2;

/** How long a suspect is blocked at first; doubles with each end after a block ran out. */
const BASE_BLOCK_MS = 30_000;

const MAX_BLOCK_DOUBLINGS = 7;

/** A trial whose outcome is not known by then is void: its entry may be gone. */
const MAX_TRIAL_MS = 4000;

/** The same where targets end late in their answers: the outcome is known at the end of one. */
const MAX_LATE_TRIAL_MS = 15_000;

/** After this time, callers that met a trial may find out its outcome. */
const TRIAL_RETRY_AFTER_MS = 500;

/** How long a suspect remains after it could be sent again. */
const RETENTION_MS = 60_000;

/** Callers choose the suspects, so the memory of them is bounded. */
const MAX_SUSPECTS = 256;

const MAX_ENDS_PER_SUSPECT = 16;

/**
 * Circuit breaker for what ends targets: single requests, which come again, and prompt parts, which
 * several requests share. The requests that a target's end breaks off include the one that caused
 * it, if one did, and that one never gets a complete answer. A complete answer therefore clears the
 * fingerprint of its request, and its prompt parts for some time. An answer that begins clears them
 * of ends at the begin of an answer, as most are; it says nothing about ends later in an answer, and
 * nothing about another request with the same parts.
 */
export class SuspectBreaker {
  readonly #options: SuspectBreakerOptions;

  /** Parts of requests whose answers began. */
  readonly #begunParts: SoundSuspects;

  /** Parts of requests whose answers were complete. */
  readonly #soundParts: SoundSuspects;

  /** Requests whose answers were complete. */
  readonly #soundRequests: SoundSuspects;

  readonly #suspects = new Map<string, Suspect>();

  constructor(options: SuspectBreakerOptions) {
    this.#options = options;
    this.#begunParts = new SoundSuspects(options.clock);
    this.#soundParts = new SoundSuspects(options.clock);
    this.#soundRequests = new SoundSuspects(options.clock);
  }

  /** Decides whether a request that carries these suspects may be sent. */
  check(ids: readonly string[]): SuspectDecision {
    if (this.#suspects.size === 0) return { kind: 'allowed' };
    const onTrial: string[] = [];
    let isRequired = false;
    for (const id of ids) {
      const suspect = this.#suspects.get(id);
      if (suspect === undefined || this.#computeSeverity(suspect) < TRIAL_ENDS) continue;
      const retryAfterMs = this.#computeBlockedMs(suspect);
      if (retryAfterMs > 0) {
        return { kind: 'blocked', suspect: id, ends: suspect.count, retryAfterMs };
      }
      onTrial.push(id);
      isRequired ||= suspect.count >= TRIAL_ENDS;
    }
    if (onTrial.length === 0) return { kind: 'allowed' };
    return { kind: 'trial', suspects: onTrial, isRequired };
  }

  /**
   * Returns whether ends of targets do not speak against a prompt part: an answer with it was
   * complete recently, or began and the ends were at the begin of an answer.
   */
  isSound(id: string, ends: readonly TargetEnd[]): boolean {
    if (this.#soundParts.has(id)) return true;
    return this.#begunParts.has(id) && !hasMidwayEnd(ends);
  }

  /** Returns whether an answer with a prompt part was complete recently. */
  hasCompleteAnswer(id: string): boolean {
    return this.#soundParts.has(id);
  }

  /** Returns whether a target has ended on one of these. */
  hasEnds(ids: readonly string[]): boolean {
    for (const id of ids) if ((this.#suspects.get(id)?.ends.size ?? 0) > 0) return true;
    return false;
  }

  /** Records that an answer began. @returns what was suspected until now and others may suspect */
  recordBegun(ids: readonly string[]): string[] {
    const clearable: string[] = [];
    for (const id of ids) {
      if (!isFingerprint(id)) this.#begunParts.add(id);
      const suspect = this.#suspects.get(id);
      if (suspect !== undefined && !hasMidwayEnd(suspect.ends.values())) clearable.push(id);
    }
    return this.#clearAll(clearable);
  }

  /** Records that an answer was complete. @returns as `recordBegun` */
  recordComplete(ids: readonly string[]): string[] {
    for (const id of ids) (isFingerprint(id) ? this.#soundRequests : this.#soundParts).add(id);
    return this.#clearAll(ids);
  }

  #clearAll(ids: readonly string[]): string[] {
    const cleared: string[] = [];
    let hasCleared = false;
    for (const id of ids) {
      const suspect = this.#suspects.get(id);
      if (suspect === undefined) continue;
      this.#suspects.delete(id);
      hasCleared = true;
      // A request with one end that is not stored is suspected for a minute only.
      if (!isFingerprint(id) || isWorthStoring(suspect)) cleared.push(id);
    }
    if (hasCleared) this.#updateCounts();
    return cleared;
  }

  /**
   * Records the end of a target with requests that waited for their answers.
   *
   * @returns the suspects for which it is new; without those that are known to be sound
   */
  recordEnd(end: TargetEnd, ids: readonly string[]): string[] {
    const added: string[] = [];
    for (const id of ids) if (this.#addEnd(id, end)) added.push(id);
    if (added.length > 0) this.#updateCounts();
    return added;
  }

  /** Merges a stored record. Its suspect remains unsaved if more is known here. */
  applyRecord(id: string, record: SuspectRecord, revision: Revision): void {
    const suspect = this.#getOrCreate(id);
    if (revision < suspect.revision) return;
    const stored = new Set(record.ends.map(({ target }) => target));
    for (const end of record.ends) this.#addEnd(id, end);
    const isOwnTrial = suspect.trial === this.#options.ownName;
    if (!isOwnTrial && suspect.trial !== record.trial) {
      // This entry has no trial, so a stored one of its name is from its earlier run.
      suspect.trial = record.trial === this.#options.ownName ? null : record.trial;
      suspect.trialSinceMs = this.#options.clock.getNow();
    }
    suspect.revision = revision;
    suspect.isUnsaved = [...suspect.ends.keys()].some((target) => !stored.has(target));
    suspect.isUnsaved ||= record.trial !== suspect.trial && !isOwnTrial;
    this.#updateCounts();
  }

  /** Handles that the store was restored from a copy, which may lack anything that is known here. */
  beginEra(): void {
    for (const suspect of this.#suspects.values()) {
      suspect.revision = 0;
      suspect.isUnsaved = true;
    }
  }

  /** Handles the removal of a stored record, which clears its suspect unless more is known here. */
  removeRecord(id: string): void {
    const suspect = this.#suspects.get(id);
    if (suspect === undefined) return;
    if (suspect.isUnsaved || suspect.trial === this.#options.ownName) suspect.revision = 0;
    else this.clear(id);
  }

  clear(id: string): void {
    if (this.#suspects.delete(id)) this.#updateCounts();
  }

  get(id: string): Readonly<Suspect> | undefined {
    return this.#suspects.get(id);
  }

  list(): string[] {
    return [...this.#suspects.keys()];
  }

  /** Returns whether the store should hold more about a suspect than it does. */
  shouldSave(id: string): boolean {
    const suspect = this.#suspects.get(id);
    return suspect !== undefined && suspect.isUnsaved && isWorthStoring(suspect);
  }

  /** Returns what the store should hold about a suspect. */
  buildRecord(id: string): SuspectRecord {
    const { ends, trial } = this.#suspects.get(id) as Suspect;
    return { ends: [...ends.values()], trial };
  }

  /** Records that the store holds a record as it was built. */
  markSaved(id: string, revision: Revision, record: SuspectRecord): void {
    const suspect = this.#suspects.get(id);
    if (suspect === undefined) return;
    suspect.revision = revision;
    suspect.isUnsaved = suspect.ends.size > record.ends.length || suspect.trial !== record.trial;
  }

  /** Starts a trial of this entry, once the store has accepted it. */
  startTrial(id: string): void {
    const suspect = this.#suspects.get(id);
    if (suspect === undefined) return;
    suspect.trial = this.#options.ownName;
    suspect.trialSinceMs = this.#options.clock.getNow();
  }

  /** Ends a trial of this entry. */
  endTrial(id: string): void {
    const suspect = this.#suspects.get(id);
    if (suspect?.trial !== this.#options.ownName) return;
    suspect.trial = null;
    suspect.isUnsaved = true;
  }

  /** Lists the suspects that have ended no target for so long that they are suspects no more. */
  listExpired(): string[] {
    const nowMs = this.#options.clock.getNow();
    const expired: string[] = [];
    for (const suspect of this.#suspects.values()) {
      const blockMs = this.#computeBlockMs(suspect);
      const untilMs = suspect.lastEndMs + blockMs + RETENTION_MS;
      if (nowMs > untilMs) expired.push(suspect.id);
    }
    return expired;
  }

  /**
   * Returns how many ends a suspect is treated as having. That one request meets the ends of two
   * targets by chance is less likely than for a part of many, unless it was under way at both. A
   * request that was answered recently is only put on trial: one that is sent all the time meets the
   * ends of all targets of an outage.
   */
  #computeSeverity({ id, count, ends }: Suspect): number {
    if (!isFingerprint(id) || count === 0) return count;
    if (this.#soundRequests.has(id)) return Math.min(count, TRIAL_ENDS);
    return hasMidwayEnd(ends.values()) ? count : count + 1;
  }

  /** Returns for how long a suspect is blocked after its last end, milliseconds. */
  #computeBlockMs(suspect: Suspect): number {
    if (this.#computeSeverity(suspect) < BLOCK_ENDS) return 0;
    return BASE_BLOCK_MS * 2 ** Math.min(MAX_BLOCK_DOUBLINGS, suspect.doublings);
  }

  #computeBlockedMs(suspect: Suspect): number {
    const { lastEndMs, trial, trialSinceMs, ends } = suspect;
    const nowMs = this.#options.clock.getNow();
    const blockedMs = lastEndMs + this.#computeBlockMs(suspect) - nowMs;
    if (blockedMs > 0) return blockedMs;
    const maxTrialMs = hasMidwayEnd(ends.values()) ? MAX_LATE_TRIAL_MS : MAX_TRIAL_MS;
    return trial !== null && nowMs - trialSinceMs < maxTrialMs ? TRIAL_RETRY_AFTER_MS : 0;
  }

  #addEnd(id: string, end: TargetEnd): boolean {
    if (this.isSound(id, [end])) return false;
    const suspect = this.#getOrCreate(id);
    const known = suspect.ends.get(end.target);
    if (known !== undefined && !hasNewProgress(end, known)) return false;
    if (known === undefined && suspect.ends.size >= MAX_ENDS_PER_SUSPECT) return false;
    // Targets that end together are one sign, however many they are.
    const blockMs = this.#computeBlockMs(suspect);
    const hasRunOut = blockMs > 0 && this.#options.clock.getNow() > suspect.lastEndMs + blockMs;
    if (known === undefined && hasRunOut) suspect.doublings += 1;
    // On trial the request was the only one of its kind, so earlier answers no longer speak for it.
    if (known === undefined && suspect.trial !== null) this.#soundRequests.remove(id);
    suspect.ends.set(end.target, {
      ...end,
      hadHead: end.hadHead || known?.hadHead === true,
      isMidway: end.isMidway || known?.isMidway === true,
    });
    suspect.lastEndMs = this.#options.clock.getNow();
    suspect.isUnsaved = true;
    return true;
  }

  #getOrCreate(id: string): Suspect {
    const existing = this.#suspects.get(id);
    if (existing !== undefined) return existing;
    if (this.#suspects.size >= MAX_SUSPECTS) this.#evict();
    const created: Suspect = {
      id,
      ends: new Map(),
      lastEndMs: this.#options.clock.getNow(),
      doublings: 0,
      count: 0,
      trial: null,
      trialSinceMs: 0,
      revision: 0,
      isUnsaved: false,
    };
    this.#suspects.set(id, created);
    return created;
  }

  /** Drops the suspect with the fewest ends, of several the oldest. */
  #evict(): void {
    let evicted: Suspect | null = null;
    for (const suspect of this.#suspects.values()) {
      if (evicted === null || suspect.count < evicted.count) evicted = suspect;
    }
    if (evicted !== null) this.#suspects.delete(evicted.id);
  }

  /**
   * Counts the ends that speak against each suspect. Where a target had just begun a request, those
   * that still waited in its queue did not end it; and an end that another suspect explains does not
   * speak against the other suspects of the same requests.
   */
  #updateCounts(): void {
    const begunTargets = new Set<string>();
    for (const { ends } of this.#suspects.values()) {
      for (const { target, hadHead, isMidway } of ends.values()) {
        if (hadHead && !isMidway) begunTargets.add(target);
      }
    }
    const targetsById = new Map<string, readonly string[]>();
    const causes: Cause[] = [];
    for (const { id, ends } of this.#suspects.values()) {
      const targets: string[] = [];
      for (const { target, hadHead } of ends.values()) {
        if (hadHead || !begunTargets.has(target)) targets.push(target);
      }
      targetsById.set(id, targets);
      const isEarly = !hasMidwayEnd(ends.values());
      const minEnds = isFingerprint(id) && isEarly ? TRIAL_ENDS : BLOCK_ENDS;
      if (targets.length >= minEnds) causes.push({ isRequest: isFingerprint(id), targets });
    }
    for (const suspect of this.#suspects.values()) {
      const targets = targetsById.get(suspect.id) ?? [];
      suspect.count = countUnexplained(isFingerprint(suspect.id), targets, causes);
    }
  }
}

/** A suspect with so many ends that it explains them. */
interface Cause {
  readonly isRequest: boolean;
  readonly targets: readonly string[];
}

function hasMidwayEnd(ends: Iterable<TargetEnd>): boolean {
  for (const { isMidway } of ends) if (isMidway) return true;
  return false;
}

/** Returns whether a report of an end shows something that an earlier one of it did not. */
function hasNewProgress(end: TargetEnd, known: TargetEnd): boolean {
  return (end.hadHead && !known.hadHead) || (end.isMidway && !known.isMidway);
}

function isWorthStoring({ ends, revision }: Suspect): boolean {
  return revision !== 0 || ends.size >= MIN_STORED_ENDS;
}

/**
 * Returns whether a cause with ends of the same targets explains the ends of a suspect. A single
 * request that ended all targets that a prompt part ended is the more specific cause.
 */
function canExplain(cause: Cause, isRequest: boolean, ends: number): boolean {
  const causeEnds = cause.targets.length;
  if (cause.isRequest && !isRequest) return causeEnds >= ends;
  return causeEnds >= BLOCK_ENDS && causeEnds > ends;
}

/** Counts the ends of a suspect that no cause explains. */
function countUnexplained(
  isRequest: boolean,
  own: readonly string[],
  causes: readonly Cause[],
): number {
  const explained = new Set<string>();
  for (const cause of causes) {
    if (!canExplain(cause, isRequest, own.length)) continue;
    for (const target of cause.targets) explained.add(target);
  }
  let count = 0;
  for (const target of own) if (!explained.has(target)) count += 1;
  return count;
}
