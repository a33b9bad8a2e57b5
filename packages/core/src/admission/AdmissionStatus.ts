import type { ErrorKind } from '../errors/ErrorKind.js';
import type { AdmissionState } from './AdmissionState.js';

/** Status of admission at one agent, for log lines, metrics and the status page. */
export interface AdmissionStatus {
  readonly state: AdmissionState;
  /** Whether the agent is isolated, even if the document lets it serve. */
  readonly isolated: boolean;
  readonly rampState: 'cold' | 'ramping' | 'full';
  readonly rampLimit: number;
  readonly adaptiveLimit: number;
  readonly rampRestarts: number;
  /** Why the ramp last restarted. */
  readonly rampReason: string;
  /** Median service time of the last ramp interval relative to the warm value; null if unknown. */
  readonly serviceTimeRatio: number | null;
  readonly started: number;
  readonly finished: number;
  readonly duplicates: number;
  readonly refused: ReadonlyMap<ErrorKind, number>;
  /** Number of attempt ids retained to detect duplicates. */
  readonly cachedAttempts: number;
}
