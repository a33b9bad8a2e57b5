import type { SimAgent } from './SimAgent.js';
import type { SimEntry } from './SimEntry.js';

/** A connection of one life of an entry to one life of an agent. */
export interface Connection {
  readonly id: string;
  readonly entry: SimEntry;
  readonly entryLife: number;
  readonly agent: SimAgent;
  readonly agentLife: number;
  /** Drops everything in both directions without an error. */
  silent: boolean;
}
