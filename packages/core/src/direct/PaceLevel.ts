/** Lowest level, so that a target that has recovered still gets requests that show it. */
const MIN_LEVEL = 1 / 32;

const FULL_LEVEL = 1;

const GROWTH_FACTOR = 2;

/** Added by an answer in time from the level of the last strain on. */
const GROWTH_STEP = 1 / 8;

const STRAIN_FACTOR = 1 / 2;

/** After this time without an answer, milliseconds, a level says nothing about the target. */
const EVIDENCE_RETENTION_MS = 5000;

/**
 * Part of its full share of requests that one unit gets from one entry. It doubles with answers in
 * time up to the level of the last strain, grows by steps from there and is halved by strain (AIMD
 * after slow start). Only requests that were sent at the present level change it, so each level
 * lasts for at least one response time.
 */
export class PaceLevel {
  #level: number;

  /** Level from which on growth is additive. */
  #strainedLevel: number;

  /** Since when the level holds, monotonic milliseconds. */
  #sinceMs: number;

  #lastEvidenceMs: number;

  #hasChanged = false;

  /** @param isStrained whether the level was lowered by strain; growth is additive from it then */
  constructor(level: number, nowMs: number, isStrained = false) {
    this.#level = level;
    this.#strainedLevel = isStrained ? level : FULL_LEVEL;
    this.#sinceMs = nowMs;
    this.#lastEvidenceMs = nowMs;
  }

  get(): number {
    return this.#level;
  }

  /** Returns whether any evidence has changed the first level. */
  hasChanged(): boolean {
    return this.#hasChanged;
  }

  isFull(): boolean {
    return this.#level >= FULL_LEVEL;
  }

  /**
   * Raises the level after an answer in time.
   *
   * @param sentMs when the request was sent, monotonic milliseconds
   * @param maxLevel level that may not be exceeded now
   */
  recordInTime(sentMs: number, nowMs: number, maxLevel = FULL_LEVEL): void {
    this.#lastEvidenceMs = nowMs;
    if (sentMs < this.#sinceMs) return;
    const raised =
      this.#level < this.#strainedLevel
        ? Math.min(this.#strainedLevel, this.#level * GROWTH_FACTOR)
        : this.#level + GROWTH_STEP;
    this.#raise(Math.min(maxLevel, raised), nowMs);
  }

  /** Records an answer that changes nothing. */
  recordUncertain(nowMs: number): void {
    this.#lastEvidenceMs = nowMs;
  }

  /** Halves the level, once for all requests that were sent at it. @returns whether it fell */
  recordStrain(sentMs: number, nowMs: number): boolean {
    this.#lastEvidenceMs = nowMs;
    if (sentMs < this.#sinceMs) return false;
    const lowered = Math.max(MIN_LEVEL, this.#level * STRAIN_FACTOR);
    const hasFallen = lowered < this.#level;
    this.#level = lowered;
    this.#hasChanged = true;
    this.#strainedLevel = lowered;
    this.#sinceMs = nowMs;
    return hasFallen;
  }

  /** Doubles a level for which no answer arrived for a time. */
  expire(nowMs: number, maxLevel = FULL_LEVEL): void {
    if (nowMs - this.#lastEvidenceMs < EVIDENCE_RETENTION_MS) return;
    this.#lastEvidenceMs = nowMs;
    this.#raise(Math.min(maxLevel, this.#level * GROWTH_FACTOR), nowMs);
  }

  #raise(level: number, nowMs: number): void {
    if (level <= this.#level) return;
    this.#level = Math.min(FULL_LEVEL, level);
    this.#hasChanged = true;
    this.#sinceMs = nowMs;
  }
}
