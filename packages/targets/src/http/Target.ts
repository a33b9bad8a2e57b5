import type { TargetCall } from './TargetCall.js';
import type { TargetListener } from './TargetListener.js';

/** The backend that an agent serves. */
export interface Target {
  /** Dispatches a call to the target. @returns a function that cancels it */
  send(call: TargetCall, listener: TargetListener): () => void;
  /** Opens new connections for later calls; calls in progress keep theirs. */
  replaceConnections(): void;
  close(): Promise<void>;
}
