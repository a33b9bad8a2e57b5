/** Settings of `limpetbay-entry` that may change while it runs; the others need a restart. */
export const liveEntrySettings = ['timing.address_ttl_ms', 'timing.stop_grace_ms'] as const;
