import type { DirectCall, DirectListener } from '@limpetbay/targets';

/** Connections of an entry to one target address. */
export interface TargetPool {
  /** Sends a call on an idle connection or a new one. @returns a function that cancels the call */
  send(call: DirectCall, listener: DirectListener): () => void;
  /** Closes connections that have been idle for more than `maxIdleMs` milliseconds. */
  closeIdle(maxIdleMs: number): void;
  /** Returns the number of open connections, idle or in use. */
  count(): number;
  close(): void;
}
