import type { Revision } from '../ids/Revision.js';
import type { TargetEnd } from './TargetEnd.js';

/** What an entry knows about a request or a prompt part that may have ended targets. */
export interface Suspect {
  /** Fingerprint of a request, or id of a prompt part. */
  readonly id: string;
  /** Ends by target; several entries may report the same one. */
  readonly ends: Map<string, TargetEnd>;
  /** When this entry learned of the last end, monotonic milliseconds. */
  lastEndMs: number;
  /** Blocks that had run out when the suspect ended another target. */
  doublings: number;
  /** Ends that speak against this suspect rather than against another one of the same requests. */
  count: number;
  /** Entry whose request is on trial; null without a trial. */
  trial: string | null;
  trialSinceMs: number;
  /** Revision of the stored record; 0 without one. */
  revision: Revision | 0;
  /** Whether the stored record lacks something known here. */
  isUnsaved: boolean;
}
