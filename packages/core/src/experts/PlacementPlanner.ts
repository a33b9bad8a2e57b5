import type { Clock } from '../clock/Clock.js';
import type { ChangeCost } from './ChangeCost.js';
import type { LayerPlacement } from './LayerPlacement.js';
import type { PlacementChoice } from './PlacementChoice.js';
import { PlacementSearch } from './PlacementSearch.js';
import type { SearchStep } from './SearchStep.js';
import { computeSkew } from './computeSkew.js';
import { countMoves } from './countMoves.js';
import { estimateNetSaving } from './estimateNetSaving.js';
import { rebuildLayer } from './rebuildLayer.js';

interface PlannerOptions {
  /** Predicted skew from which a change is considered. */
  readonly startSkew: number;
  /** Predicted skew at which the search stops. Below `startSkew`, so that the map does not flap. */
  readonly stopSkew: number;
  /** Skew that a change must take away at least. */
  readonly minGain: number;
  /** Copies loaded in one change; what remains follows in the next. */
  readonly maxMoves: number;
  /** Least time between two changes that no jump calls for, milliseconds. */
  readonly minIntervalMs: number;
  /** Predicted skew from which the least time does not hold. */
  readonly urgentSkew: number;
}

const DEFAULT_OPTIONS: PlannerOptions = {
  startSkew: 1.06,
  stopSkew: 1.02,
  minGain: 0.01,
  maxMoves: 48,
  minIntervalMs: 45_000,
  urgentSkew: 1.1,
};

/** Lifetime that is assumed before two changes have been seen, seconds. */
const FIRST_LIFETIME = 600;

/** A planner that has seen only one calm or one wild phase must still weigh costs sensibly. */
const MIN_LIFETIME = 60;
const MAX_LIFETIME = 3600;

/** Decides when a layer's placement changes and to what. Deterministic for the same inputs. */
export class PlacementPlanner {
  readonly #clock: Clock;

  readonly #cost: ChangeCost;

  readonly #options: PlannerOptions;

  #lastChangeMs = -Infinity;

  #lifetimeSeconds = FIRST_LIFETIME;

  #refusal = { atMs: -Infinity, skew: 0 };

  constructor(clock: Clock, cost: ChangeCost, options: Partial<PlannerOptions> = {}) {
    this.#clock = clock;
    this.#cost = cost;
    this.#options = { ...DEFAULT_OPTIONS, ...options };
  }

  /**
   * Chooses the next placement of a layer.
   *
   * @param layer the placement in force
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
    const sinceMs = this.#clock.getNow() - this.#lastChangeMs;
    if (sinceMs < this.#options.minIntervalMs && skewNow < this.#options.urgentSkew) {
      return keep('recent');
    }
    // A search that found nothing finds nothing while the loads are about the same.
    const isRepeat = this.#clock.getNow() - this.#refusal.atMs < this.#options.minIntervalMs;
    if (isRepeat && skewNow < this.#refusal.skew + this.#options.minGain) return keep('recent');
    const steps = this.#search(layer, loads, skewNow);
    let best = keep('small_gain');
    for (const step of steps) {
      if (skewNow - step.skew < this.#options.minGain) continue;
      const saving = estimateNetSaving(
        this.#cost,
        skewNow,
        step.skew,
        step.moves,
        this.#lifetimeSeconds,
      );
      if (best.next === null) best = keep('not_worthwhile');
      if (saving <= best.netSavingSeconds) continue;
      best = {
        next: step.layer,
        skewNow,
        skewNext: step.skew,
        moves: step.moves,
        netSavingSeconds: saving,
        reason: 'change',
      };
    }
    if (best.next === null) this.#refusal = { atMs: this.#clock.getNow(), skew: skewNow };
    return best;
  }

  /** Lists placements to choose from: few exchanges first, and a repack where those get stuck. */
  #search(layer: LayerPlacement, loads: ArrayLike<number>, skewNow: number): SearchStep[] {
    const limits = {
      targetSkew: this.#options.stopSkew,
      maxMoves: this.#options.maxMoves,
      maxLoadsPerRank: this.#cost.maxLoadsPerRank,
    };
    const steps = new PlacementSearch(layer, loads, limits).run();
    const last = steps[steps.length - 1];
    if (last === undefined || last.skew < this.#options.startSkew) return steps;
    if (last.moves >= this.#options.maxMoves && last.skew < skewNow) return steps;
    const repacked = rebuildLayer(layer, loads, this.#cost.maxLoadsPerRank);
    const maxMoves = countMoves(layer, repacked) + this.#options.maxMoves;
    return [
      ...steps,
      ...new PlacementSearch(repacked, loads, { ...limits, maxMoves }, layer).run(),
    ];
  }

  /** Notes that a change came into force; the time between changes is the expected lifetime. */
  recordChange(): void {
    const nowMs = this.#clock.getNow();
    const seconds = (nowMs - this.#lastChangeMs) / 1000;
    this.#lastChangeMs = nowMs;
    if (!Number.isFinite(seconds)) return;
    const lifetime = this.#lifetimeSeconds + 0.2 * (seconds - this.#lifetimeSeconds);
    this.#lifetimeSeconds = Math.min(MAX_LIFETIME, Math.max(MIN_LIFETIME, lifetime));
  }
}
