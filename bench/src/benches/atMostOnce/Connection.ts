import type { SimAgent } from './SimAgent.js';
import type { SimEntry } from './SimEntry.js';

/** A connection between one incarnation of an entry process and one of an agent process. */
export interface Connection {
  readonly id: string;
  readonly entry: SimEntry;
  /** Incarnation of the entry process. */
  readonly entryIncarnation: number;
  readonly agent: SimAgent;
  /** Incarnation of the agent process (`SimProcess`), not the one in its load reports. */
  readonly agentIncarnation: number;
  /** Whether the connection drops everything in both directions without an error. */
  stalled: boolean;
}
