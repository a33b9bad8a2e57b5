import type { MapRecord, PlacementChoice, PlannerListener } from '@limpetbay/core';
import type { Log } from '@limpetbay/runtime';

const PERCENT = 100;

/** Rounds a ratio to two decimal places for the log. */
function roundRatio(ratio: number): number {
  return Math.round(ratio * PERCENT) / PERCENT;
}

/** Writes a log line for each placement decision of a planner. */
export class PlacementLog implements PlannerListener {
  readonly #log: Log;

  readonly #group: string;

  /** Last reason of each layer; a placement kept for the same reason again is not logged. */
  readonly #reasons = new Map<number, PlacementChoice['reason']>();

  constructor(log: Log, group: string) {
    this.#log = log;
    this.#group = group;
  }

  onChoice(layer: number, choice: PlacementChoice): void {
    const isRepeated = choice.next === null && this.#reasons.get(layer) === choice.reason;
    this.#reasons.set(layer, choice.reason);
    if (isRepeated) return;
    this.#log.report(choice.next === null ? 'placement kept' : 'placement proposed', {
      group: this.#group,
      layer,
      skew: roundRatio(choice.skewNow),
      skew_next: roundRatio(choice.skewNext),
      moves: choice.moves,
      saving_s: Math.round(choice.netSavingSeconds),
      reason: choice.reason,
    });
  }

  onDecision(record: MapRecord): void {
    this.#log.report('planner decided the map switch', {
      group: this.#group,
      version: record.map.version,
      decision: record.status,
      boundary: record.boundary,
      epoch: record.epoch,
    });
  }
}
