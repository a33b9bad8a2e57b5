import type { Priority } from '../admission/Priority.js';
import type { ServiceName } from '../ids/ServiceName.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Workspace } from '../ids/Workspace.js';
import type { RequestCost } from './RequestCost.js';

/** The properties of a request that a routing decision depends on. */
export interface RouteRequest extends RequestCost {
  readonly service: ServiceName;
  readonly workspace: Workspace;
  readonly priority: Priority;
  /** Milliseconds left until the caller's deadline. */
  readonly deadlineMs: number;
  /** Whether the request may run more than once. Others serve as probes only as a last resort. */
  readonly repeatable: boolean;
  /** Targets used by earlier attempts of this request. */
  readonly tried: ReadonlySet<TargetId>;
}
