import type { Priority } from '../admission/Priority.js';
import type { ServiceName } from '../ids/ServiceName.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Workspace } from '../ids/Workspace.js';
import type { RequestCost } from './RequestCost.js';

/** What a routing decision needs to know about a request. */
export interface RouteRequest extends RequestCost {
  readonly service: ServiceName;
  readonly workspace: Workspace;
  readonly priority: Priority;
  /** Milliseconds left until the caller's deadline. */
  readonly deadlineMs: number;
  /** Whether the request may run twice. Others are probes only as a last resort. */
  readonly repeatable: boolean;
  /** Targets that earlier attempts of this request used. */
  readonly tried: ReadonlySet<TargetId>;
}
