import type { BenchResult } from '../report/BenchResult.js';
import type { CapacitySlope } from './CapacitySlope.js';
import { capacityTolerance } from './capacityTolerance.js';
import { estimateSlope } from './estimateSlope.js';

const SEED = 1;

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(4)));
}

/**
 * Compares a measured slope with the recorded one, by the cost that each line gives for the largest
 * size. That cost is what the page uses; the slope of a nearly flat line is mostly noise.
 */
export function compareSlope(
  measured: CapacitySlope,
  recorded: CapacitySlope | undefined,
): BenchResult[] {
  const name = `capacity.${measured.id}`;
  const common = { seed: SEED, baseline: null, ratio: null };
  const informs = { ...common, bound: null, pass: true };
  const unit = `${measured.unit} per ${measured.per}`;
  const size = measured.sizes[measured.sizes.length - 1]!;
  const cost = estimateSlope(measured, size);
  const results: BenchResult[] = [
    { name, figure: measured.slope, unit, ...informs },
    { name: `${name}.intercept`, figure: measured.intercept, unit: measured.unit, ...informs },
    { name: `${name}.error`, figure: measured.error, unit: 'of the slope', ...informs },
  ];
  const costName = `${name}.at-${size}`;
  if (recorded === undefined) {
    results.push({
      name: costName,
      figure: cost,
      unit: measured.unit,
      ...common,
      bound: 'recorded in capacity-slopes.json',
      pass: false,
    });
    return results;
  }
  const factor = capacityTolerance[measured.kind];
  const expected = estimateSlope(recorded, size);
  results.push({
    name: costName,
    figure: cost,
    unit: measured.unit,
    ...common,
    bound: `>= ${formatNumber(expected / factor)} and <= ${formatNumber(expected * factor)}`,
    pass: cost >= expected / factor && cost <= expected * factor,
  });
  return results;
}
