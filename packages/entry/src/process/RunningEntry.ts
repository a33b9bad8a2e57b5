import type { RunningProcess } from '@limpetbay/runtime';

/** An entry that runs in this process. */
export interface RunningEntry extends RunningProcess {
  /** Base URL for callers. */
  readonly url: string;
}
