import { readFileSync } from 'node:fs';
import type { BenchResult } from './BenchResult.js';

type Bounds = Record<string, { readonly max?: number; readonly min?: number }>;

const boundsFile = new URL('../../bounds.json', import.meta.url);
const bounds = JSON.parse(readFileSync(boundsFile, 'utf8')) as Bounds;

/**
 * Builds a result and checks the figure against `bounds.json`.
 *
 * @param name key of the bound; a result without a bound only informs and passes
 * @param baseline the same figure of the baseline, or null
 */
export function createResult(
  name: string,
  seed: number,
  figure: number,
  unit: string,
  baseline: number | null = null,
): BenchResult {
  const bound = bounds[name];
  const ratio = baseline === null ? null : figure / baseline;
  if (bound === undefined) {
    return { name, seed, figure, unit, baseline, ratio, bound: null, pass: true };
  }
  const tooHigh = bound.max !== undefined && !(figure <= bound.max);
  const tooLow = bound.min !== undefined && !(figure >= bound.min);
  const limits: string[] = [];
  if (bound.max !== undefined) limits.push(`<= ${bound.max}`);
  if (bound.min !== undefined) limits.push(`>= ${bound.min}`);
  return {
    name,
    seed,
    figure,
    unit,
    baseline,
    ratio,
    bound: limits.join(' and '),
    pass: !tooHigh && !tooLow,
  };
}
