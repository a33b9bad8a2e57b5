import type { AgentCalls } from './AgentCalls.js';

/** Connection to another agent. */
export interface RemoteAgent extends AgentCalls {
  close(): void;
}
