import type { Result } from 'ts-results';
import type { Clock } from '../clock/Clock.js';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import type { RandomSource } from '../random/RandomSource.js';

const HALF_LIFE_MS = 2000;
const DECAY_MS = HALF_LIFE_MS / Math.LN2;
/** How often the fair share is worked out; costs one sort of the tracked workspaces. */
const EPOCH_MS = 250;
/** Costs below this no longer matter and are forgotten. */
const NEGLIGIBLE_COST = 0.01;

/**
 * Early refusal at an entry: while more is offered than the known capacity, workspaces above the
 * max-min fair share are thinned out to that share. Only the largest workspaces are tracked; an
 * untracked one is below the share and never refused. A new one may burst for about a half-life.
 */
export class WorkspaceLimiter {
  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #maxTracked: number;

  /** Offered cost by workspace, decaying with the half-life. */
  readonly #costs = new Map<string, number>();

  #total = 0;

  #updatedMs: number;

  #capacity: number | null = null;

  /** Decayed cost that a workspace may hold; infinite without pressure. */
  #share = Infinity;

  /** @param options.maxTracked workspaces kept at the end of an epoch; twice that within one */
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

  /** @param costPerSecond this entry's part of what the targets complete, null when not known */
  setCapacity(costPerSecond: number | null): void {
    this.#capacity = costPerSecond;
  }

  getTracked(): number {
    return this.#costs.size;
  }

  /** Admits a request of a workspace, or refuses it with `workspace_limited`. */
  admit(workspace: string, cost: number): Result<void, Failure> {
    this.#refresh();
    const known = this.#costs.get(workspace);
    const room = this.#costs.size < 2 * this.#maxTracked;
    if (known !== undefined || room) this.#costs.set(workspace, (known ?? 0) + cost);
    this.#total += cost;
    const offered = known ?? 0;
    if (offered <= this.#share) return Ok(undefined);
    if (this.#random.next() < this.#share / offered) return Ok(undefined);
    const message = `workspace ${workspace} exceeds its share while the targets are fully used`;
    return fail('workspace_limited', message, HALF_LIFE_MS);
  }

  #refresh(): void {
    const nowMs = this.#clock.getNow();
    const elapsedMs = nowMs - this.#updatedMs;
    if (elapsedMs < EPOCH_MS) return;
    this.#updatedMs = nowMs;
    const kept = Math.exp(-elapsedMs / DECAY_MS);
    this.#total *= kept;
    const ranked: [string, number][] = [];
    for (const [workspace, cost] of this.#costs) ranked.push([workspace, cost * kept]);
    ranked.sort((a, b) => b[1] - a[1]);
    this.#costs.clear();
    for (const [workspace, cost] of ranked) {
      if (this.#costs.size >= this.#maxTracked || cost < NEGLIGIBLE_COST) break;
      this.#costs.set(workspace, cost);
    }
    this.#share = this.#computeShare();
  }

  /**
   * Finds the share at which the tracked workspaces, cut to it, fit the capacity. It never lies
   * below the smallest tracked one while others are untracked, as those would be favoured.
   */
  #computeShare(): number {
    if (this.#capacity === null) return Infinity;
    const capacity = (this.#capacity * DECAY_MS) / 1000;
    let excess = this.#total - capacity;
    if (excess <= 0) return Infinity;
    // Cuts the largest ones down to the next smaller one until the excess is gone.
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
