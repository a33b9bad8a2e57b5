import type { Incarnation } from '../ids/Incarnation.js';
import type { Workspace } from '../ids/Workspace.js';
import type { AttemptId } from './AttemptId.js';
import type { Priority } from './Priority.js';

/** One attempt as admission sees it. */
export interface AdmissionItem extends AttemptId {
  readonly workspace: Workspace;
  readonly priority: Priority;
  /** Absolute deadline, monotonic milliseconds of the agent's clock. */
  readonly deadlineMs: number;
  readonly promptTokens: number;
  /** Upper bound on generated tokens; 0 for plain services. */
  readonly maxTokens: number;
  /** Incarnation that the entry expects; absent or 0 accepts any. */
  readonly incarnation?: Incarnation;
  /** Whether running it twice is harmless. Absent means that it is not. */
  readonly repeatable?: boolean;
  /** Route of a plain service; requests of one route have comparable service times. */
  readonly route?: string;
}
