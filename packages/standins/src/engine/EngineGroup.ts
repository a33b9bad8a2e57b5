import { EngineRank } from './EngineRank.js';

const NOMINAL_REQUESTS = 8;

interface EngineGroupOptions {
  readonly ranks: number;
  readonly host?: string;
  /** Time of a step at nominal load, milliseconds. */
  readonly stepMs?: number;
  readonly checksFencing?: boolean;
  readonly needsGrants?: boolean;
  readonly coldCapacity?: number;
  readonly warmAfter?: number;
}

/**
 * A stand-in for a group of model engine ranks. All ranks advance in lock-step: a step takes as
 * long as the busiest rank needs, and begins only when every running rank is granted it.
 */
export class EngineGroup {
  readonly ranks: readonly EngineRank[];

  readonly #stepMs: number;

  #step = 0;

  #timer: NodeJS.Timeout | null = null;

  /** Steps in which two ranks used different maps; must stay empty. */
  readonly mixedSteps: number[] = [];

  /** Tokens that each expert handled in the last interval, by layer. */
  expertCounts: number[][] = [];

  /** Map version of the last step. */
  mapVersion = 0;

  /** Times that the group waited for a grant. */
  stalls = 0;

  constructor(options: EngineGroupOptions) {
    this.#stepMs = options.stepMs ?? 5;
    const ranks: EngineRank[] = [];
    for (let rank = 0; rank < options.ranks; rank += 1) {
      ranks.push(
        new EngineRank({
          host: options.host ?? '127.0.0.1',
          checksFencing: options.checksFencing ?? false,
          needsGrants: options.needsGrants ?? false,
          coldCapacity: options.coldCapacity ?? Number.POSITIVE_INFINITY,
          warmAfter: options.warmAfter ?? 0,
          readCounts: () => ({ layers: this.expertCounts, endMs: performance.now() }),
        }),
      );
    }
    this.ranks = ranks;
  }

  async start(): Promise<void> {
    for (const rank of this.ranks) await rank.start();
    this.#schedule(this.#stepMs);
  }

  /** Returns the last step that the group ran. */
  getStep(): number {
    return this.#step;
  }

  /** Ends all ranks. */
  stop(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    for (const rank of this.ranks) if (rank.isRunning()) rank.crash();
  }

  #schedule(delayMs: number): void {
    this.#timer = setTimeout(() => this.#advance(), delayMs);
  }

  #advance(): void {
    const next = this.#step + 1;
    let busiest = 0;
    for (const rank of this.ranks) {
      if (!rank.isRunning()) continue;
      if (rank.isFrozen() || !rank.isReady(next)) {
        this.stalls += 1;
        this.#schedule(1);
        return;
      }
      busiest = Math.max(busiest, rank.countActive());
    }
    this.#step = next;
    const versions = new Set<number>();
    for (const rank of this.ranks) if (rank.isRunning()) versions.add(rank.advance(next));
    if (versions.size > 1) this.mixedSteps.push(next);
    for (const version of versions) this.mapVersion = version;
    const stepTimeMs = this.#stepMs * Math.max(1, busiest / NOMINAL_REQUESTS);
    for (const rank of this.ranks) rank.stepTimeMs = stepTimeMs;
    this.#schedule(stepTimeMs);
  }
}
