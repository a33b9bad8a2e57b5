/** How current the configuration of a process is. Times are monotonic milliseconds. */
export interface ConfigFreshness {
  /**
   * `fresh`: confirmed by the store, directly or through a relay, within the last 3 s; `stale`:
   * older, but a relay or the store answers; `cut_off`: older, and nothing answers.
   */
  readonly state: 'fresh' | 'stale' | 'cut_off';
  /** Whether the process has had a complete set of documents since its start. */
  readonly ready: boolean;
  /** When the store last confirmed the documents, directly or through a relay; null for never. */
  readonly lastStoreConfirmationAt: number | null;
  /**
   * When a message from another zone last arrived at this process or at a relay of its own zone;
   * null for never.
   */
  readonly lastOutsideContactAt: number | null;
  /** Number of zones with at least one known instance. */
  readonly zoneCount: number;
}
