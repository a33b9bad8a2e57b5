/** Size and timing of a development fleet. */
export interface DevFleetOptions {
  /** Names of the availability zones; targets are spread over them in turn. */
  readonly zones: readonly string[];
  readonly entriesPerZone: number;
  /** Number of ranks in the model group. */
  readonly ranks: number;
  /** Number of targets of the plain service. */
  readonly plainTargets: number;
  /** Number of experts in the model group; 0 turns off step grants and expert maps. */
  readonly experts: number;
  /** Caller port of the first entry; 0 chooses a free port. */
  readonly port: number;
  /** Least severe level that agents and entries log; `silent` turns their logs off. */
  readonly logLevel: 'info' | 'warn' | 'silent';
  /** Duration of one step of the model group, in milliseconds. */
  readonly stepMs: number;
  /** How long callers may cache the address of an entry, in milliseconds. */
  readonly addressTtlMs: number;
  /** How long an agent keeps running after it starts to leave, in milliseconds. */
  readonly leaveMs: number;
}
