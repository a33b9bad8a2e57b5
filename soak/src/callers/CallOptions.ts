import type { Agent } from 'node:http';

/** A request that a caller sends. */
export interface CallOptions {
  /** Name of the entry. */
  readonly entry: string;
  readonly host: string;
  readonly port: number;
  readonly path: string;
  readonly method: 'GET' | 'POST';
  readonly agent: Agent | false;
  /** Time after which the caller gives up, milliseconds. */
  readonly limitMs: number;
  readonly body?: Buffer;
  /** Time for which the caller reads nothing of the answer, milliseconds. */
  readonly pauseMs?: number;
  /** Resets the connection after this time, milliseconds. */
  readonly resetAfterMs?: number;
}
