/** Last status report of the target's engine; it may be outdated. */
export interface EngineStatus {
  /** Start time as reported by the engine; any change means a restart. 0 when unknown. */
  readonly startedAt: number;
  /** Time of a recent step, milliseconds; 0 when unknown. */
  readonly stepTimeMs: number;
  /** Requests that wait inside the engine. */
  readonly waiting: number;
  /** Free share of KV memory, 0 to 1. */
  readonly kvFree: number;
  /** Share of the prefix cache in use, 0 to 1. */
  readonly cacheUsed: number;
}
