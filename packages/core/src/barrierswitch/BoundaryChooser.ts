import { maxBoundaryLead } from './maxBoundaryLead.js';

/**
 * Gives each switch of a formation a boundary of its own. A process does not know which passes other
 * planners, or the same one before a restart, have used. None of them lies more than
 * `maxBoundaryLead` beyond the last pass, so it begins with the pass after these.
 */
export class BoundaryChooser {
  /** Epoch of the formation to which `#first` belongs; null if it is to be found anew. */
  #epoch: number | null = null;

  #first = 0;

  /** Discards what is known, as after a time in which another process may have planned. */
  clear(): void {
    this.#epoch = null;
  }

  /** Records the last pass of the group before the first switch of this process. */
  recordStep(epoch: number, step: number): void {
    if (epoch === this.#epoch) return;
    this.#epoch = epoch;
    this.#first = step + maxBoundaryLead + 1;
  }

  /** Records that passes before `next` may have been the boundaries of switches. */
  recordUse(epoch: number, next: number): void {
    if (epoch === this.#epoch) this.#first = Math.max(this.#first, next);
  }

  /** Returns the first pass that may be the boundary of the next switch; it may be too far ahead yet. */
  getFirst(): number {
    return this.#first;
  }
}
