import type { FaultPlan } from './schedule/FaultPlan.js';
import type { Profile } from './schedule/Profile.js';

/** What to run. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the traffic, seconds. */
  readonly seconds: number;
  readonly profile: Profile;
  readonly schedule: readonly FaultPlan[];
  /** Folder for the logs, settings and record of the run. */
  readonly folder: string;
  /** Program and arguments of each role. */
  readonly commands: Readonly<Record<'entry' | 'agent', readonly string[]>>;
  /** An instance has to serve so long after its start and the end of all obstacles, milliseconds. */
  readonly recoveryMs: number;
}
