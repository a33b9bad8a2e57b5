import type { RandomSource } from '@limpetbay/core';
import { sampleNormal } from './sampleNormal.js';

const DAY_SECONDS = 86_400;

/** Time over which popularity drifts from one ranking to the next. */
const SEGMENT_SECONDS = 3600;

/** Standard deviation of an expert's step in the logarithm of its popularity rank, each segment. */
const DRIFT = 0.35;

const JUMPS = 6;

/** Experts that exchange their places in a jump. */
const JUMP_EXPERTS = 16;

/**
 * Expected popularity of a layer's experts over a day: Zipf with an exponent that moves between
 * 0.5 and 1.0, ranks that drift from hour to hour, and a few jumps in which 16 experts, among them
 * one of the four most popular, exchange their ranks at once.
 */
export class ExpertDay {
  readonly #experts: number;

  /** Popularity rank (1 = most popular) by expert: at the start and end of each segment. */
  readonly #starts: number[][] = [];

  readonly #ends: number[][] = [];

  /** Permutations of experts by the jump that applies them, in order of time. */
  readonly #jumps: { readonly atSeconds: number; readonly order: readonly number[] }[] = [];

  constructor(experts: number, random: RandomSource) {
    this.#experts = experts;
    let ranks = this.#rankScores(Array.from({ length: experts }, () => random.next()));
    for (let at = 0; at < DAY_SECONDS; at += SEGMENT_SECONDS) {
      const end = this.#rankScores(
        ranks.map((rank) => Math.log(rank) + DRIFT * sampleNormal(random)),
      );
      this.#starts.push(ranks);
      this.#ends.push(end);
      ranks = end;
    }
    const times = Array.from({ length: JUMPS }, () => 3600 + random.next() * (DAY_SECONDS - 7200));
    for (const atSeconds of times.sort((a, b) => a - b)) {
      this.#jumps.push({ atSeconds, order: this.#createJump(atSeconds, random) });
    }
  }

  /** Returns the times of the jumps, seconds of the day. */
  getJumps(): number[] {
    return this.#jumps.map((jump) => jump.atSeconds);
  }

  /** Returns the share of the load by expert; the sum is 1. */
  getShares(atSeconds: number): number[] {
    const exponent = 0.75 - 0.25 * Math.cos((2 * Math.PI * atSeconds) / DAY_SECONDS);
    const weights = this.#getLogRanks(atSeconds).map((rank) => Math.exp(-exponent * rank));
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return weights.map((weight) => weight / sum);
  }

  #getLogRanks(atSeconds: number): number[] {
    const segment = Math.min(this.#starts.length - 1, Math.floor(atSeconds / SEGMENT_SECONDS));
    const part = atSeconds / SEGMENT_SECONDS - segment;
    const start = this.#starts[segment] ?? [];
    const end = this.#ends[segment] ?? [];
    let ranks = start.map(
      (rank, expert) => Math.log(rank) * (1 - part) + Math.log(end[expert] ?? 1) * part,
    );
    for (const jump of this.#jumps) {
      if (atSeconds < jump.atSeconds) break;
      const before = ranks;
      ranks = jump.order.map((expert) => before[expert] ?? 0);
    }
    return ranks;
  }

  #rankScores(scores: readonly number[]): number[] {
    const order = [...scores.keys()].sort((a, b) => (scores[a] ?? 0) - (scores[b] ?? 0) || a - b);
    const ranks = Array.from({ length: this.#experts }, () => 0);
    for (const [index, expert] of order.entries()) ranks[expert] = index + 1;
    return ranks;
  }

  #createJump(atSeconds: number, random: RandomSource): number[] {
    const ranks = this.#getLogRanks(atSeconds);
    const byRank = [...ranks.keys()].sort((a, b) => (ranks[a] ?? 0) - (ranks[b] ?? 0) || a - b);
    const chosen = new Set([byRank[Math.floor(random.next() * 4)] ?? 0]);
    while (chosen.size < JUMP_EXPERTS) chosen.add(Math.floor(random.next() * this.#experts));
    const list = [...chosen];
    const order = Array.from({ length: this.#experts }, (_, expert) => expert);
    // A rotation gives each chosen expert the place of another.
    for (const [index, expert] of list.entries()) {
      order[expert] = list[(index + 1) % list.length] ?? expert;
    }
    return order;
  }
}
