import type { ServiceName } from '../ids/ServiceName.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';

/** Availability of a service at an entry, for logs and metrics. */
export interface ServiceStatus {
  readonly service: ServiceName;
  /** Targets of the service. */
  readonly targets: number;
  /** Targets in this entry's subset. */
  readonly subset: number;
  /** Targets of the subset that may receive work. */
  readonly usable: number;
  /** Targets of the subset whose circuit breaker is open. */
  readonly openTargets: readonly TargetId[];
  /** Zones of the subset whose circuit breaker is open. */
  readonly openZones: readonly Zone[];
}
