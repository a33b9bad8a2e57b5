import type { Clock } from '../clock/Clock.js';
import type { RandomSource } from '../random/RandomSource.js';

interface GroupShare {
  /** When the last load report arrived, monotonic milliseconds. */
  readonly reportedMs: number;
  /** Rounds the share of this entry up or down, 0 to 1; null until it is needed. */
  draw: number | null;
}

/** Slots of a group as the last load report shows them. */
interface GroupSlots {
  /** Slots that the class of the request may still fill. */
  readonly free: number;
  /** Requests that are running. */
  readonly active: number;
  /** Expected duration of a running request, milliseconds; 0 where it is not known. */
  readonly durationMs: number;
  /** Requests of this entry that the report may not show. */
  readonly sent: number;
}

/**
 * Divides the free slots of each group between the entries. All entries see the same slots free until
 * the next report; if each filled them, the ranks would queue many times as many requests as they
 * have slots, and all of these would be late. Each entry takes an equal share instead; fractions are
 * drawn at random, so that the entries together use all slots. No messages are needed.
 */
export class FreeSlotShares {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #groups = new Map<string, GroupShare>();

  constructor(clock: Clock, random: RandomSource) {
    this.#clock = clock;
    this.#random = random;
  }

  /** Handles a load report of all ranks of a group. */
  handleReport(group: string): void {
    this.#groups.set(group, { reportedMs: this.#clock.getNow(), draw: null });
  }

  /**
   * Returns whether this entry may fill one more slot of a group; true without a report.
   *
   * @param entries number of entries that share the group
   */
  hasShare(group: string, slots: GroupSlots, entries: number): boolean {
    const share = this.#groups.get(group);
    if (share === undefined) return true;
    const { free, active, durationMs, sent } = slots;
    const elapsedMs = this.#clock.getNow() - share.reportedMs;
    const freedSince = durationMs > 0 ? active * Math.min(1, elapsedMs / durationMs) : 0;
    const ownSlots = (free + freedSince) / entries;
    if (sent < Math.floor(ownSlots)) return true;
    share.draw ??= this.#random.next();
    return sent < Math.floor(ownSlots + share.draw);
  }

  /** Forgets groups that have not reported since a time, monotonic milliseconds. */
  expire(sinceMs: number): void {
    for (const [group, { reportedMs }] of this.#groups) {
      if (reportedMs < sinceMs) this.#groups.delete(group);
    }
  }

  /** Returns the number of groups in memory. */
  count(): number {
    return this.#groups.size;
  }
}
