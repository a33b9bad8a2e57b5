import type { TargetCall } from './TargetCall.js';
import type { TargetListener } from './TargetListener.js';

/** The back end beside an agent. */
export interface Target {
  /** Hands a call to the target. Returns a function that cancels it. */
  run(call: TargetCall, listener: TargetListener): () => void;
  /** Opens new connections for later calls; calls in progress stay on theirs. */
  replaceConnections(): void;
  close(): Promise<void>;
}
