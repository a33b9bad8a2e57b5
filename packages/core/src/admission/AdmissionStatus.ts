import type { ErrorKind } from '../errors/ErrorKind.js';
import type { AdmissionState } from './AdmissionState.js';

/** Figures for log lines, metrics and the status page of one agent. */
export interface AdmissionStatus {
  readonly state: AdmissionState;
  /** True also where the document lets an isolated agent serve. */
  readonly isolated: boolean;
  readonly rampState: 'cold' | 'ramping' | 'full';
  readonly rampLimit: number;
  readonly adaptiveLimit: number;
  readonly rampRestarts: number;
  /** Why the ramp last restarted. */
  readonly rampReason: string;
  /** Pace of the last interval relative to the warm value; null before it is known. */
  readonly paceRatio: number | null;
  readonly started: number;
  readonly finished: number;
  readonly duplicates: number;
  readonly refused: ReadonlyMap<ErrorKind, number>;
  readonly rememberedAttempts: number;
}
