import type { Result } from 'ts-results';
import type { Clock } from '../clock/Clock.js';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import type { RandomSource } from '../random/RandomSource.js';

const COST_HALF_LIFE_MS = 2000;
const DECAY_TIME_CONSTANT_MS = COST_HALF_LIFE_MS / Math.LN2;
/** Interval between computations of the fair share, each of which sorts the tracked workspaces. */
const SHARE_INTERVAL_MS = 250;
/** Workspaces with a lower decayed cost are no longer tracked. */
const MIN_TRACKED_COST = 0.01;

/**
 * Sheds load at an entry by workspace: while the offered cost exceeds the estimated capacity,
 * workspaces above the max-min fair share are limited to that share by random refusals. Only the
 * largest workspaces are tracked; an untracked one is below the share and never refused. A new
 * workspace may burst for about one half-life of the decay.
 */
export class WorkspaceLimiter {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #maxTracked: number;

  /** Offered cost by workspace, decaying with the half-life. */
  readonly #costs = new Map<string, number>();

  #totalCost = 0;

  #updatedMs: number;

  #capacityPerSecond: number | null = null;

  /** Decayed cost up to which a workspace is not limited; infinite without overload. */
  #share = Infinity;

  /** @param options.maxTracked workspaces kept at each refresh; up to twice as many in between */
  constructor(options: {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly maxTracked?: number;
  }) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#maxTracked = options.maxTracked ?? 1024;
    this.#updatedMs = this.#clock.getNow();
  }

  /** @param costPerSecond cost that the targets complete for this entry; null while unknown */
  setCapacity(costPerSecond: number | null): void {
    this.#capacityPerSecond = costPerSecond;
  }

  countTracked(): number {
    return this.#costs.size;
  }

  /** Admits a request of a workspace, or refuses it with `workspace_limited`. */
  admit(workspace: string, cost: number): Result<void, Failure> {
    this.#refreshShare();
    const tracked = this.#costs.get(workspace);
    const canTrack = this.#costs.size < 2 * this.#maxTracked;
    if (tracked !== undefined || canTrack) this.#costs.set(workspace, (tracked ?? 0) + cost);
    this.#totalCost += cost;
    const offeredCost = tracked ?? 0;
    if (offeredCost <= this.#share) return Ok(undefined);
    if (this.#random.next() < this.#share / offeredCost) return Ok(undefined);
    const message = `workspace ${workspace} exceeds its share while the targets are overloaded`;
    return fail('workspace_limited', message, COST_HALF_LIFE_MS);
  }

  #refreshShare(): void {
    const nowMs = this.#clock.getNow();
    const elapsedMs = nowMs - this.#updatedMs;
    if (elapsedMs < SHARE_INTERVAL_MS) return;
    this.#updatedMs = nowMs;
    const decay = Math.exp(-elapsedMs / DECAY_TIME_CONSTANT_MS);
    this.#totalCost *= decay;
    const ranked: [string, number][] = [];
    for (const [workspace, cost] of this.#costs) ranked.push([workspace, cost * decay]);
    ranked.sort((a, b) => b[1] - a[1]);
    this.#costs.clear();
    for (const [workspace, cost] of ranked) {
      if (this.#costs.size >= this.#maxTracked || cost < MIN_TRACKED_COST) break;
      this.#costs.set(workspace, cost);
    }
    this.#share = this.#computeShare();
  }

  /**
   * Computes the share to which the tracked workspaces must be limited so that the total cost does
   * not exceed the capacity. While some workspaces may be untracked, the share is at least the cost
   * of the smallest tracked one; otherwise the untracked ones would be favoured.
   */
  #computeShare(): number {
    if (this.#capacityPerSecond === null) return Infinity;
    const capacity = (this.#capacityPerSecond * DECAY_TIME_CONSTANT_MS) / 1000;
    let excess = this.#totalCost - capacity;
    if (excess <= 0) return Infinity;
    // Reduce the largest costs to the next smaller one until the excess is zero.
    const costs = [...this.#costs.values()];
    const floor = costs.length < this.#maxTracked ? 0 : (costs[costs.length - 1] ?? 0);
    for (const [index, cost] of costs.entries()) {
      const next = costs[index + 1] ?? floor;
      const cut = (cost - next) * (index + 1);
      if (cut >= excess) return cost - excess / (index + 1);
      excess -= cut;
    }
    return floor;
  }
}
