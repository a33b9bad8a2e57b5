/** A change of the pace of a unit, for logs and metrics. */
export interface PaceChange {
  readonly kind: 'begin' | 'halve' | 'end';
  /** Name of the unit: `group` and the name of a group, or the run of a target. */
  readonly unit: string;
  readonly service: string;
  /** Part of its full share that the unit gets from now on. */
  readonly level: number;
  readonly cause: string;
}
