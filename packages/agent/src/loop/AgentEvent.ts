import type { ClaimDecision, EngineStatus, Failure, Header, Result } from '@limpetbay/core';
import type { AttemptRun } from '../attempt/AttemptRun.js';

/** Event that the agent's event loop handles. */
export type AgentEvent =
  | { readonly type: 'attempt'; readonly run: AttemptRun }
  | { readonly type: 'cancelled'; readonly run: AttemptRun }
  | {
      readonly type: 'claimed';
      readonly run: AttemptRun;
      readonly result: Result<ClaimDecision, Failure>;
    }
  | {
      readonly type: 'head';
      readonly run: AttemptRun;
      readonly status: number;
      readonly headers: readonly Header[];
    }
  | {
      readonly type: 'data';
      readonly run: AttemptRun;
      readonly data: Uint8Array;
      readonly tokens: number;
    }
  | { readonly type: 'completed'; readonly run: AttemptRun }
  | {
      readonly type: 'broken';
      readonly run: AttemptRun;
      readonly message: string;
      readonly neverSent: boolean;
    }
  | { readonly type: 'engine'; readonly status: EngineStatus }
  | { readonly type: 'engine_silent' }
  | { readonly type: 'config' }
  | { readonly type: 'leave' }
  | { readonly type: 'tick' };
