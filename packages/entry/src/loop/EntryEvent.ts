import type { AnswerAssembler, AnswerFrame, LoadReport, TargetId } from '@limpetbay/core';
import type { CallerAnswer, CallerRequest } from '@limpetbay/callers';
import type { RequestRun } from '../request/RequestRun.js';
import type { RequestHandle } from '../request/RequestHandle.js';

/** An event of an entry's loop. */
export type EntryEvent =
  | {
      readonly type: 'request';
      readonly request: CallerRequest;
      readonly answer: CallerAnswer;
      readonly handle: RequestHandle;
    }
  | {
      readonly type: 'caller_gone';
      readonly handle: RequestHandle;
    }
  | {
      readonly type: 'frame';
      readonly run: RequestRun;
      readonly assembler: AnswerAssembler;
      readonly frame: AnswerFrame;
    }
  | {
      /** The agent's stream has ended, with or without a complete answer. */
      readonly type: 'attempt_ended';
      readonly run: RequestRun;
      readonly assembler: AnswerAssembler;
      readonly reason: string;
      /** Whether the attempt certainly never left this process, so that it has not run. */
      readonly neverSent: boolean;
    }
  | {
      readonly type: 'probed';
      readonly target: TargetId;
      /** Null if the agent did not answer. */
      readonly load: LoadReport | null;
    }
  | { readonly type: 'retry'; readonly run: RequestRun }
  | { readonly type: 'config' }
  | { readonly type: 'tick' };
