/** Recent contacts of a process, from which admission decides whether its zone is isolated. */
export interface Connectivity {
  /** When the store last confirmed the configuration, directly or through a relay, monotonic ms. */
  readonly storeConfirmedMs: number;
  /** When a message from another zone last arrived, monotonic ms. */
  readonly outsideZoneHeardMs: number;
  /** Number of zones in the deployment; with a single zone a process never counts as isolated. */
  readonly zoneCount: number;
}
