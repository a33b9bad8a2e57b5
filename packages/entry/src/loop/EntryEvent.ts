import type { AnswerAssembler, AnswerFrame, LoadReport, TargetId } from '@limpetbay/core';
import type { CallerAnswer, CallerRequest } from '@limpetbay/callers';
import type { EntryRun } from '../request/EntryRun.js';
import type { RequestHandle } from '../request/RequestHandle.js';

/** Everything that an entry's loop handles. */
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
      readonly run: EntryRun;
      readonly assembler: AnswerAssembler;
      readonly frame: AnswerFrame;
    }
  | {
      readonly type: 'attempt_ended';
      readonly run: EntryRun;
      readonly assembler: AnswerAssembler;
      readonly reason: string;
      readonly neverSent: boolean;
    }
  | {
      readonly type: 'probed';
      readonly target: TargetId;
      /** Null where the agent did not answer. */
      readonly load: LoadReport | null;
    }
  | { readonly type: 'retry'; readonly run: EntryRun }
  | { readonly type: 'config' }
  | { readonly type: 'tick' };
