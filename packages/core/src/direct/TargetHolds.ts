import type { Clock } from '../clock/Clock.js';
import type { DirectAnswerHead } from './DirectAnswerHead.js';
import type { DirectTarget } from './DirectTarget.js';
import { buildRunName } from './buildRunName.js';

interface TargetHoldsOptions {
  readonly clock: Clock;
  /** Returns how long after its first such answer a leaving target may be used, milliseconds. */
  readonly getDrainMs: () => number;
}

/** What a target's answer states about further requests. */
type HoldStatement = Pick<DirectAnswerHead, 'status' | 'isLeaving' | 'retryAfterMs'>;

interface Hold {
  /** When an answer first stated that the target leaves, monotonic milliseconds. */
  leavingSinceMs: number | null;
  /** Until when the target wants no request, monotonic milliseconds. */
  untilMs: number;
  /** When an answer was last recorded, monotonic milliseconds. */
  recordedMs: number;
}

/**
 * - `open`: may get requests.
 * - `last_resort`: leaves, and gets only what no other target can take.
 * - `backing_off`: wants no requests for a time.
 * - `closed`: has left, and gets no more requests.
 */
type HoldState = 'open' | 'last_resort' | 'backing_off' | 'closed';

const STATUS_UNAVAILABLE = 503;

/** A target that asks for longer is asked again after this time, milliseconds. */
const MAX_BACKOFF_MS = 3_600_000;

/** How long the hold of a target that is gone is kept, because a restored store may name it. */
const GONE_RETENTION_MS = 600_000;

/**
 * The targets that asked this entry for no further requests, by run: a target that starts again is
 * open. Independent of the store, which may be away or may not know yet.
 */
export class TargetHolds {
  readonly #options: TargetHoldsOptions;

  readonly #holds = new Map<string, Hold>();

  constructor(options: TargetHoldsOptions) {
    this.#options = options;
  }

  /** @returns whether the answer is the first that states this, or states a longer time */
  handleAnswer(target: DirectTarget, statement: HoldStatement): boolean {
    const { status, isLeaving, retryAfterMs } = statement;
    const backoffMs = status === STATUS_UNAVAILABLE ? (retryAfterMs ?? 0) : 0;
    if (!isLeaving && backoffMs === 0) return false;
    const nowMs = this.#options.clock.getNow();
    const run = buildRunName(target);
    const hold = this.#holds.get(run) ?? { leavingSinceMs: null, untilMs: 0, recordedMs: 0 };
    const untilMs = backoffMs === 0 ? 0 : nowMs + Math.min(backoffMs, MAX_BACKOFF_MS);
    const isNew = (isLeaving && hold.leavingSinceMs === null) || untilMs > hold.untilMs;
    if (isLeaving) hold.leavingSinceMs ??= nowMs;
    hold.untilMs = Math.max(hold.untilMs, untilMs);
    hold.recordedMs = nowMs;
    this.#holds.set(run, hold);
    return isNew;
  }

  getState(target: DirectTarget): HoldState {
    const hold = this.#findHold(target);
    if (hold === undefined) return 'open';
    const nowMs = this.#options.clock.getNow();
    const { leavingSinceMs, untilMs } = hold;
    if (leavingSinceMs !== null && nowMs - leavingSinceMs >= this.#options.getDrainMs()) {
      return 'closed';
    }
    if (nowMs < untilMs) return 'backing_off';
    return leavingSinceMs === null ? 'open' : 'last_resort';
  }

  /**
   * Returns when the first of the targets takes requests again, milliseconds from now; null if one
   * takes them now, or if none backs off.
   */
  getBackoffMs(targets: readonly DirectTarget[]): number | null {
    let untilMs = Infinity;
    for (const target of targets) {
      const state = this.getState(target);
      if (target.isDraining || state === 'closed') continue;
      if (state !== 'backing_off') return null;
      untilMs = Math.min(untilMs, this.#findHold(target)?.untilMs ?? Infinity);
    }
    return Number.isFinite(untilMs) ? untilMs - this.#options.clock.getNow() : null;
  }

  /** Forgets targets that are gone. @param runs of the targets that are registered */
  expire(runs: ReadonlySet<string>): void {
    const oldestMs = this.#options.clock.getNow() - GONE_RETENTION_MS;
    for (const [run, { recordedMs, untilMs }] of this.#holds) {
      if (!runs.has(run) && Math.max(recordedMs, untilMs) < oldestMs) this.#holds.delete(run);
    }
  }

  /** Returns the number of targets that are not simply open. */
  count(): number {
    return this.#holds.size;
  }

  #findHold(target: DirectTarget): Hold | undefined {
    return this.#holds.size === 0 ? undefined : this.#holds.get(buildRunName(target));
  }
}
