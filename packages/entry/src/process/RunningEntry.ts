import type { RunningProcess, SupervisedProcess } from '@limpetbay/runtime';
import type { EntrySettings } from '../settings/EntrySettings.js';

/** An entry that runs in this process. */
export interface RunningEntry extends RunningProcess, SupervisedProcess<EntrySettings> {
  /** Base URL for callers. */
  readonly url: string;
}
