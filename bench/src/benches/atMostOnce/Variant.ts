/**
 * `none` keeps all rules of the product. Each other variant breaks one rule, to prove that the
 * schedules detect it.
 */
export type Variant =
  | 'none'
  | 'claim-after-dispatch'
  | 'release-after-dispatch'
  | 'retry-after-break'
  | 'refused-after-dispatch'
  | 'no-frame-check'
  | 'unanswered-write-as-failure'
  | 'unanswered-write-as-success'
  | 'delete-on-release'
  | 'departed-owner-as-free'
  | 'no-duplicate-check'
  | 'duplicate-check-after-refusals'
  | 'no-deadline-check'
  | 'ignore-earlier-attempts'
  | 'clean-end-on-break';
