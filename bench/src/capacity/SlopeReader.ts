import type { CapacitySlope } from './CapacitySlope.js';
import { estimateSlope } from './estimateSlope.js';
import { formatFigure } from './formatFigure.js';

/** Reads costs out of recorded slopes. Throws where a slope is missing. */
export class SlopeReader {
  readonly #slopes: ReadonlyMap<string, CapacitySlope>;

  constructor(slopes: ReadonlyMap<string, CapacitySlope>) {
    this.#slopes = slopes;
  }

  getSlope(id: string): CapacitySlope {
    const slope = this.#slopes.get(id);
    if (slope === undefined) throw new Error(`slope ${id} is not recorded`);
    return slope;
  }

  /** Returns the cost of a size. */
  estimate(id: string, size: number): number {
    return estimateSlope(this.getSlope(id), size);
  }

  /** Returns the mean cost of one at the largest measured size, with its share of the intercept. */
  estimateOne(id: string): number {
    const { sizes } = this.getSlope(id);
    const largest = sizes[sizes.length - 1]!;
    return this.estimate(id, largest) / largest;
  }

  /** Formats the fitted line. */
  describe(id: string): string {
    const { slope, intercept, unit } = this.getSlope(id);
    const sign = intercept < 0 ? '-' : '+';
    const base = formatFigure(Math.abs(intercept));
    return `\`${id}\` ${formatFigure(slope)} n ${sign} ${base} ${unit}`;
  }

  /** Formats the mean cost of one. */
  describeOne(id: string): string {
    const { unit, per } = this.getSlope(id);
    return `\`${id}\` ${formatFigure(this.estimateOne(id))} ${unit} per ${per}`;
  }
}
