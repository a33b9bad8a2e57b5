import type { LoadReport } from '@limpetbay/core';
import { Incarnation, TargetId } from '@limpetbay/core';
import type { EventQueue } from './EventQueue.js';
import { EngineRank } from './EngineRank.js';

interface EngineSnapshot {
  readonly tokensInFlight: number;
  readonly queuedPromptTokens: number;
  readonly kvFree: number;
  readonly stepTimeMs: number;
}

/** Groups of ranks that finish each step together, with load reports that lag. */
export class LockStepFleet {
  readonly ranks: EngineRank[] = [];

  readonly #queue: EventQueue;

  readonly #ranksPerGroup: number;

  readonly #onStep: (stepMs: number, meanRankMs: number, running: number) => void;

  readonly #stepMs: number[] = [];

  #snapshots: EngineSnapshot[] = [];

  /**
   * @param options.snapshotMs interval at which the engines publish their load
   * @param options.onStep receives the time of each step, the mean time of the ranks alone, and the
   *   requests in progress
   */
  constructor(
    queue: EventQueue,
    options: {
      readonly groups: number;
      readonly ranksPerGroup: number;
      readonly snapshotMs: number;
      readonly onStep: (stepMs: number, meanRankMs: number, running: number) => void;
    },
  ) {
    this.#queue = queue;
    this.#ranksPerGroup = options.ranksPerGroup;
    this.#onStep = options.onStep;
    const count = options.groups * options.ranksPerGroup;
    for (let index = 0; index < count; index += 1) this.ranks.push(new EngineRank());
    for (let group = 0; group < options.groups; group += 1) {
      this.#stepMs.push(0);
      this.#step(group);
    }
    this.#publish(options.snapshotMs);
  }

  /** The report that the agent of a target would send now: own counts, last published engine load. */
  createReport(target: number): LoadReport {
    return {
      target: TargetId.parse(`t${target}`),
      incarnation: Incarnation.parse(1),
      state: 'serving',
      inFlight: this.ranks[target]!.getInFlight(),
      limit: 64,
      queued: 0,
      queueDelayMs: 0,
      configRevision: 1,
      ...this.#snapshots[target]!,
    };
  }

  #publish(snapshotMs: number): void {
    this.#snapshots = this.ranks.map((rank, index) => ({
      tokensInFlight: rank.getTokens(),
      queuedPromptTokens: rank.getQueuedPromptTokens(),
      kvFree: rank.getKvFree(),
      stepTimeMs: this.#stepMs[Math.floor(index / this.#ranksPerGroup)]!,
    }));
    this.#queue.add(snapshotMs, () => this.#publish(snapshotMs));
  }

  #step(group: number): void {
    const first = group * this.#ranksPerGroup;
    const ranks = this.ranks.slice(first, first + this.#ranksPerGroup);
    let slowest = 0;
    let sum = 0;
    let running = 0;
    for (const rank of ranks) {
      const rankMs = rank.measureStep();
      slowest = Math.max(slowest, rankMs);
      sum += rankMs;
      running += rank.getInFlight();
    }
    this.#stepMs[group] = slowest;
    this.#queue.add(slowest, () => {
      this.#onStep(slowest, sum / ranks.length, running);
      for (const rank of ranks) rank.runStep();
      this.#step(group);
    });
  }
}
