import { PaceFilter } from './PaceFilter.js';
import { urgentPace } from './urgentPace.js';

/** The paces of the ranks of a group as they count for the placement of experts. */
export class RankPaces {
  readonly #filters = new Map<number, PaceFilter>();

  /**
   * Records the pace that a rank reports.
   *
   * @param nowMs monotonic milliseconds
   * @returns whether the slowness of the rank has just become urgent
   */
  record(rank: number, pace: number, nowMs: number): boolean {
    let filter = this.#filters.get(rank);
    if (filter === undefined) {
      filter = new PaceFilter();
      this.#filters.set(rank, filter);
    }
    const wasUrgent = filter.getPace() >= urgentPace;
    filter.record(pace, nowMs);
    return !wasUrgent && filter.getPace() >= urgentPace;
  }

  /** Discards the pace of a rank, as when another machine has taken its place. */
  discard(rank: number): void {
    this.#filters.delete(rank);
  }

  /** Returns the pace of a rank that counts. */
  get(rank: number): number {
    return this.#filters.get(rank)?.getPace() ?? 1;
  }

  /** Lists the paces that count, by rank. */
  list(size: number): number[] {
    return Array.from({ length: size }, (_, rank) => this.get(rank));
  }
}
