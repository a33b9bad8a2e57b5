/** Steps that an engine may run, and the map for each of them. */
export interface StepGrant {
  /** Last step that may run. */
  readonly until: number;
  /** Version for steps before `boundary`. */
  readonly versionBefore: number;
  readonly boundary: number;
  /** Version from `boundary` on; undecided, and then `until` is before `boundary`. */
  readonly versionFrom: number | null;
}
