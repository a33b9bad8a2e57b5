import type { Clock } from '../clock/Clock.js';
import type { ChangeCost } from './ChangeCost.js';
import type { LayerPlacement } from './LayerPlacement.js';
import type { PlacementChoice } from './PlacementChoice.js';
import { PlacementSearch } from './PlacementSearch.js';
import type { PlacementCandidate } from './PlacementCandidate.js';
import { computeSkew } from './computeSkew.js';
import { countMoves } from './countMoves.js';
import { estimateNetSaving } from './estimateNetSaving.js';
import { adjustCopyCounts } from './adjustCopyCounts.js';

interface PlacementPlannerOptions {
  /** Predicted skew at or above which a change is considered. */
  readonly startSkew: number;
  /** Predicted skew at which the search stops; below `startSkew`, so that the map does not flap. */
  readonly stopSkew: number;
  /** Minimum reduction of skew for a change. */
  readonly minGain: number;
  /** Maximum number of copies loaded in one change; later changes load the rest. */
  readonly maxMoves: number;
  /** Minimum time between two changes below `urgentSkew`, milliseconds. */
  readonly minIntervalMs: number;
  /** Predicted skew at or above which `minIntervalMs` does not apply. */
  readonly urgentSkew: number;
}

const DEFAULT_OPTIONS: PlacementPlannerOptions = {
  startSkew: 1.06,
  stopSkew: 1.02,
  minGain: 0.01,
  maxMoves: 48,
  minIntervalMs: 45_000,
  urgentSkew: 1.1,
};

/** Expected lifetime of a placement until two changes have been recorded. */
const INITIAL_LIFETIME_SECONDS = 600;

/** Bounds of the lifetime estimate, so that one quiet or unstable period does not distort it. */
const MIN_LIFETIME_SECONDS = 60;
const MAX_LIFETIME_SECONDS = 3600;

/** Decides when and how to change a layer's placement. Deterministic for the same inputs. */
export class PlacementPlanner {
  readonly #clock: Clock;

  readonly #cost: ChangeCost;

  readonly #options: PlacementPlannerOptions;

  #lastChangeMs = -Infinity;

  #lifetimeSeconds = INITIAL_LIFETIME_SECONDS;

  /** Time and skew of the last search that found no worthwhile change. */
  #lastFailure = { atMs: -Infinity, skew: 0 };

  constructor(clock: Clock, cost: ChangeCost, options: Partial<PlacementPlannerOptions> = {}) {
    this.#clock = clock;
    this.#cost = cost;
    this.#options = { ...DEFAULT_OPTIONS, ...options };
  }

  /**
   * Chooses the next placement of a layer.
   *
   * @param layer the active placement
   * @param loads estimated load by expert id, any unit
   */
  choosePlacement(layer: LayerPlacement, loads: ArrayLike<number>): PlacementChoice {
    const skewNow = computeSkew(layer, loads);
    const keep = (reason: PlacementChoice['reason']): PlacementChoice => ({
      next: null,
      skewNow,
      skewNext: skewNow,
      moves: 0,
      netSavingSeconds: 0,
      reason,
    });
    if (skewNow < this.#options.startSkew) return keep('balanced');
    const sinceChangeMs = this.#clock.getNow() - this.#lastChangeMs;
    if (sinceChangeMs < this.#options.minIntervalMs && skewNow < this.#options.urgentSkew) {
      return keep('recent');
    }
    // A search without a worthwhile change is not repeated while the skew is about the same.
    const isRepeat = this.#clock.getNow() - this.#lastFailure.atMs < this.#options.minIntervalMs;
    if (isRepeat && skewNow < this.#lastFailure.skew + this.#options.minGain) return keep('recent');
    const candidates = this.#listCandidates(layer, loads, skewNow);
    let best = keep('small_gain');
    for (const candidate of candidates) {
      if (skewNow - candidate.skew < this.#options.minGain) continue;
      const saving = estimateNetSaving(
        this.#cost,
        skewNow,
        candidate.skew,
        candidate.moves,
        this.#lifetimeSeconds,
      );
      if (best.next === null) best = keep('not_worthwhile');
      if (saving <= best.netSavingSeconds) continue;
      best = {
        next: candidate.layer,
        skewNow,
        skewNext: candidate.skew,
        moves: candidate.moves,
        netSavingSeconds: saving,
        reason: 'change',
      };
    }
    if (best.next === null) this.#lastFailure = { atMs: this.#clock.getNow(), skew: skewNow };
    return best;
  }

  /** Lists candidates from a local search; if it gets stuck, also after adjusting copy counts. */
  #listCandidates(
    layer: LayerPlacement,
    loads: ArrayLike<number>,
    skewNow: number,
  ): PlacementCandidate[] {
    const limits = {
      targetSkew: this.#options.stopSkew,
      maxMoves: this.#options.maxMoves,
      maxLoadsPerRank: this.#cost.maxLoadsPerRank,
    };
    const candidates = new PlacementSearch(layer, loads, limits).run();
    const last = candidates[candidates.length - 1];
    if (last === undefined || last.skew < this.#options.startSkew) return candidates;
    if (last.moves >= this.#options.maxMoves && last.skew < skewNow) return candidates;
    const adjusted = adjustCopyCounts(layer, loads, this.#cost.maxLoadsPerRank);
    const maxMoves = countMoves(layer, adjusted) + this.#options.maxMoves;
    return [
      ...candidates,
      ...new PlacementSearch(adjusted, loads, { ...limits, maxMoves }, layer).run(),
    ];
  }

  /** Records that a change became active, and updates the expected lifetime of a placement. */
  recordChange(): void {
    const nowMs = this.#clock.getNow();
    const seconds = (nowMs - this.#lastChangeMs) / 1000;
    this.#lastChangeMs = nowMs;
    if (!Number.isFinite(seconds)) return;
    const lifetimeSeconds = this.#lifetimeSeconds + 0.2 * (seconds - this.#lifetimeSeconds);
    this.#lifetimeSeconds = Math.min(
      MAX_LIFETIME_SECONDS,
      Math.max(MIN_LIFETIME_SECONDS, lifetimeSeconds),
    );
  }
}
