/** Steps that an engine may run, and the map version for each. */
export interface StepGrant {
  /** Last step that may run. */
  readonly until: number;
  /** Map version for steps before `boundary`. */
  readonly versionBefore: number;
  readonly boundary: number;
  /** Map version from `boundary` on. Null while undecided; `until` is then before `boundary`. */
  readonly versionFrom: number | null;
}
