/** What a process knows about its connections; input of the isolation rule. */
export interface Connectivity {
  /** When the store last confirmed the configuration, directly or by relay, monotonic ms. */
  readonly storeConfirmedMs: number;
  /** When a process outside the own zone was last heard, monotonic ms. */
  readonly outsideZoneHeardMs: number;
  /** Number of zones in the deployment; with one zone the rule is off. */
  readonly zoneCount: number;
}
