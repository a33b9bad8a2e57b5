import type { AnnouncedInstance, ConfigFreshness } from '@limpetbay/core';

/** What one process says about the configuration that it follows. Ages are milliseconds. */
export interface RevisionReport {
  readonly self: AnnouncedInstance;
  readonly revisions: ReadonlyMap<
    string,
    {
      readonly revision: number;
      readonly deleted: boolean;
      /** For how long this revision has been in force in the process, milliseconds. */
      readonly inForceMs: number;
    }
  >;
  readonly state: ConfigFreshness['state'];
  readonly ready: boolean;
  readonly isRelay: boolean;
  readonly followers: number;
  readonly zoneCount: number;
  /** Age of the last store confirmation; null for never. */
  readonly confirmationAgeMs: number | null;
  /** Age of the last contact with another zone; null for never. */
  readonly outsideContactAgeMs: number | null;
}
