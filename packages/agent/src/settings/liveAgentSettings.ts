/** Settings of `limpetbay-agent` that may change while it runs; the others need a restart. */
export const liveAgentSettings = ['timing.leave_ms', 'timing.stop_grace_ms'] as const;
