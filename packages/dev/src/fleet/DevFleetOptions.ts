/** Size and timing of a development fleet. */
export interface DevFleetOptions {
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  readonly ranks: number;
  readonly services: number;
  /** Experts of the model group; 0 leaves its steps and maps alone. */
  readonly experts: number;
  /** Port of the first entry; 0 takes a free one. */
  readonly port: number;
  readonly logLevel: 'info' | 'warn' | 'silent';
  /** Time of a step of the model group, milliseconds. */
  readonly stepMs: number;
  /** Time for which callers may keep an entry's address, milliseconds. */
  readonly addressTtlMs: number;
  /** Time for which a leaving agent stays up, milliseconds. */
  readonly leaveMs: number;
}
