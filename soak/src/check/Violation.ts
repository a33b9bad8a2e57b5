/** A rule that was broken. */
export interface Violation {
  readonly rule: 'FAULT' | 'LOST' | 'TWICE' | 'REFUSED' | 'MIXED' | 'DRAIN';
  /** Time from the start of the run, milliseconds. */
  readonly atMs: number;
  readonly seen: string;
}
