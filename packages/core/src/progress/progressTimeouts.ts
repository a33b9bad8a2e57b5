/** Time without progress after which a peer counts as unresponsive, milliseconds. */
export const progressTimeouts = {
  /** Agents send progress every 1 s; two may be late. */
  attemptMs: 3000,
  /** The store confirms a watch at least every 2 s. */
  storeWatchMs: 2000,
  /** Relays send a heartbeat every 500 ms; two may be late. */
  relayMs: 1500,
} as const;
