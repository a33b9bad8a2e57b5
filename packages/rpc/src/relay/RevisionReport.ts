import type { AnnouncedInstance, ConfigFreshness } from '@limpetbay/core';

/** Report of one process on its active configuration. Ages are in milliseconds. */
export interface RevisionReport {
  readonly self: AnnouncedInstance;
  readonly revisions: ReadonlyMap<
    string,
    {
      readonly revision: number;
      readonly deleted: boolean;
      /** Time since this revision became active in the process, milliseconds. */
      readonly inForceMs: number;
    }
  >;
  readonly state: ConfigFreshness['state'];
  readonly ready: boolean;
  readonly isRelay: boolean;
  readonly followers: number;
  readonly zoneCount: number;
  /** Age of the last confirmation by the store; null if there was none. */
  readonly confirmationAgeMs: number | null;
  /** Age of the last contact with another zone; null if there was none. */
  readonly outsideContactAgeMs: number | null;
}
