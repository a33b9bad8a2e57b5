/** `none`: the product's rules. Each other variant breaks one rule on purpose. */
export type Variant =
  | 'none'
  | 'claim-after-hand-over'
  | 'release-after-hand-over'
  | 'retry-after-break'
  | 'refused-after-hand-over'
  | 'no-frame-check'
  | 'lost-answer-as-failure'
  | 'lost-answer-as-success'
  | 'delete-on-release'
  | 'gone-owner-as-free'
  | 'no-duplicate-check'
  | 'duplicate-check-after-refusals'
  | 'no-deadline-check'
  | 'forget-earlier-attempts'
  | 'clean-end-on-break';
