import type { AnswerAssembler } from '@limpetbay/core';
import type { CallerReply } from './CallerReply.js';
import type { CallerRequest } from './CallerRequest.js';
import type { AttemptStream } from './AttemptStream.js';

/** A request that an entry has not answered completely, with the state of its latest attempt. */
export class OpenRequest {
  readonly request: CallerRequest;

  readonly reply: (reply: CallerReply) => void;

  readonly deadlineAtMs: number;

  readonly attempt: number = 0;

  /** Whether a target may have run an earlier attempt. */
  readonly mayHaveRun: boolean = false;

  readonly headSent: boolean = false;

  readonly body: string = '';

  readonly replayed: boolean = false;

  readonly stream: AttemptStream | null = null;

  readonly assembler: AnswerAssembler | null = null;

  constructor(request: CallerRequest, reply: (reply: CallerReply) => void, deadlineAtMs: number) {
    this.request = request;
    this.reply = reply;
    this.deadlineAtMs = deadlineAtMs;
  }

  update(change: Partial<Omit<OpenRequest, 'update'>>): void {
    Object.assign(this, change);
  }
}
