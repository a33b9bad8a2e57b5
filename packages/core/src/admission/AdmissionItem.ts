import type { Incarnation } from '../ids/Incarnation.js';
import type { Workspace } from '../ids/Workspace.js';
import type { AttemptId } from './AttemptId.js';
import type { Priority } from './Priority.js';

/** One attempt of a request, with what admission needs to decide about it. */
export interface AdmissionItem extends AttemptId {
  readonly workspace: Workspace;
  readonly priority: Priority;
  /** Absolute deadline, monotonic milliseconds of the agent's clock. */
  readonly deadlineMs: number;
  readonly promptTokens: number;
  /** Upper bound on generated tokens; 0 for plain services. */
  readonly maxTokens: number;
  /** Incarnation that the entry expects; if absent or 0, any is accepted. */
  readonly incarnation?: Incarnation;
  /** Whether the attempt may safely run twice; false if absent. */
  readonly repeatable?: boolean;
  /** Route of a plain service; requests of one route have comparable service times. */
  readonly route?: string;
}
