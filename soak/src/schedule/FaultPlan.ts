/** One planned fault. The instance, target or address that it affects is counted modulo their number. */
export interface FaultPlan {
  /** Time from the start of the traffic, milliseconds. */
  readonly atMs: number;
  readonly kind: FaultKind;
  /** Index of the instance, or of the target for faults of targets. */
  readonly index: number;
  /** Duration of the fault, or the delay before a restart, milliseconds. */
  readonly durationMs: number;
  /** Uniform number in [0, 1) for the remaining choices, such as the mode of the fault. */
  readonly choice: number;
  /** Number of repetitions or callers. */
  readonly count: number;
}

type FaultKind =
  | 'hup'
  | 'settings'
  | 'stop'
  | 'kill'
  | 'freeze'
  | 'hold'
  | 'store'
  | 'config'
  | 'drain'
  | 'leave'
  | 'cuts'
  | 'crash'
  | 'endless'
  | 'largeAnswers'
  | 'uploads'
  | 'resets'
  | 'silence';
