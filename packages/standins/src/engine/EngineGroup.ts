import { EngineRank } from './EngineRank.js';

const NOMINAL_REQUESTS_PER_RANK = 8;

interface EngineGroupOptions {
  readonly ranks: number;
  readonly host?: string;
  /** Duration of a step at up to nominal load, milliseconds. */
  readonly stepMs?: number;
  readonly checksFencing?: boolean;
  readonly needsGrants?: boolean;
  readonly coldCapacity?: number;
  readonly warmAfterAnswers?: number;
}

/**
 * A stand-in for a group of model engine ranks. All ranks advance in lock-step: the busiest rank
 * determines the duration of a step, and a step begins only when every running rank is ready for it
 * and none is frozen.
 */
export class EngineGroup {
  readonly ranks: readonly EngineRank[];

  readonly #stepMs: number;

  #step = 0;

  #timer: NodeJS.Timeout | null = null;

  /** Steps in which ranks used different maps; must stay empty. */
  readonly mixedSteps: number[] = [];

  /** Tokens that each expert handled in the last interval, indexed by layer and expert. */
  expertTokenCounts: number[][] = [];

  /** Map version of the last step. */
  mapVersion = 0;

  /** Number of attempts to begin a step that failed because a rank was frozen or not ready. */
  stallCount = 0;

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
          warmAfterAnswers: options.warmAfterAnswers ?? 0,
          readExpertCounts: () => ({ layers: this.expertTokenCounts, endMs: performance.now() }),
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

  /** Stops the steps and all ranks. */
  stop(): void {
    if (this.#timer !== null) clearTimeout(this.#timer);
    for (const rank of this.ranks) if (rank.isRunning()) rank.kill();
  }

  #schedule(delayMs: number): void {
    this.#timer = setTimeout(() => this.#advance(), delayMs);
  }

  #advance(): void {
    const nextStep = this.#step + 1;
    let maxRequests = 0;
    for (const rank of this.ranks) {
      if (!rank.isRunning()) continue;
      if (rank.isFrozen() || !rank.isReady(nextStep)) {
        this.stallCount += 1;
        this.#schedule(1);
        return;
      }
      maxRequests = Math.max(maxRequests, rank.countActive());
    }
    this.#step = nextStep;
    const versions = new Set<number>();
    for (const rank of this.ranks) if (rank.isRunning()) versions.add(rank.advance(nextStep));
    if (versions.size > 1) this.mixedSteps.push(nextStep);
    for (const version of versions) this.mapVersion = version;
    const stepTimeMs = this.#stepMs * Math.max(1, maxRequests / NOMINAL_REQUESTS_PER_RANK);
    for (const rank of this.ranks) rank.stepTimeMs = stepTimeMs;
    this.#schedule(stepTimeMs);
  }
}
