import { describe, expect, it } from 'vitest';
import {
  AnswerAssembler,
  decideOutcome,
  type AnswerFrame,
  type AttemptResult,
  type Incarnation,
  type LoadReport,
  type RequestId,
} from '@limpetbay/core';

const load = {} as LoadReport;

function createFrame(part: AnswerFrame['part'], change: Partial<AnswerFrame> = {}): AnswerFrame {
  return {
    requestId: 'r1' as RequestId,
    attempt: 2,
    incarnation: 5 as Incarnation,
    part,
    ...change,
  };
}

function createAssembler(): AnswerAssembler {
  return new AnswerAssembler('r1' as RequestId, 2, 5 as Incarnation);
}

const head = createFrame({ type: 'head', status: 200, headers: [], replayed: false });

function createChunk(sequence: number, text: string): AnswerFrame {
  return createFrame({ type: 'chunk', sequence, data: Buffer.from(text), tokens: 3 });
}

describe('AnswerAssembler', () => {
  // Guards against a caller that receives part of another request's answer.
  it('drops and counts frames of another request, attempt or incarnation', () => {
    const assembler = createAssembler();
    expect(assembler.handleFrame({ ...head, requestId: 'r2' as RequestId })).toBeNull();
    expect(assembler.handleFrame({ ...head, attempt: 1 })).toBeNull();
    expect(assembler.handleFrame({ ...head, incarnation: 4 as Incarnation })).toBeNull();
    expect(assembler.handleFrame(head)?.type).toBe('head');
    expect(assembler.handleFrame(head)).toBeNull();
    expect(assembler.handleFrame(createChunk(0, 'a'))?.type).toBe('bytes');
    expect(assembler.handleFrame(createChunk(0, 'a'))).toBeNull();
    expect(assembler.getDropCounts()).toEqual({
      request: 1,
      attempt: 1,
      incarnation: 1,
      repeated: 2,
      late: 0,
    });
    expect(assembler.getResumeOffset()).toBe(3);
  });

  // Guards against the text of an error inside a stream that another target began.
  it.each([302, 404, 429, 500])(
    'fails a resumed stream that is answered with status %i',
    (status) => {
      const resumed = new AnswerAssembler('r1' as RequestId, 2, 5 as Incarnation, 3, true);
      const answer = createFrame({ type: 'head', status, headers: [], replayed: false });
      expect(resumed.handleFrame(answer)).toMatchObject({ type: 'failed', end: 'broken' });
      expect(resumed.handleFrame(createChunk(0, 'error'))).toBeNull();
      expect(createAssembler().handleFrame(answer)?.type).toBe('head');
    },
  );

  // Guards against a truncated answer that the caller treats as complete.
  it('completes only with an end frame and matching counts', () => {
    const parts: [chunks: number, bytes: number, type: string][] = [
      [1, 2, 'complete'],
      [2, 2, 'failed'],
      [1, 3, 'failed'],
    ];
    for (const [chunks, bytes, type] of parts) {
      const assembler = createAssembler();
      assembler.handleFrame(head);
      assembler.handleFrame(createChunk(0, 'ab'));
      expect(assembler.handleFrame(createFrame({ type: 'end', chunks, bytes, load }))?.type).toBe(
        type,
      );
      expect(assembler.handleBreak('broken')).toBeNull();
    }
    const broken = createAssembler();
    broken.handleFrame(head);
    expect(broken.handleBreak('broken')).toMatchObject({ type: 'failed', end: 'broken' });
    const gap = createAssembler();
    gap.handleFrame(head);
    expect(gap.handleFrame(createChunk(1, 'b'))).toMatchObject({ type: 'failed', end: 'broken' });
  });

  // Guards against reporting "not run" for a request whose target has started to answer.
  it('does not treat a refusal after the head as proof that nothing ran', () => {
    const assembler = createAssembler();
    assembler.handleFrame(head);
    const refused = {
      type: 'refused',
      kind: 'leaving',
      message: '',
      retryAfterMs: 0,
      load,
    } as const;
    expect(assembler.handleFrame(createFrame(refused))).toMatchObject({
      type: 'failed',
      end: 'broken',
    });
  });
});

describe('decideOutcome', () => {
  const base: AttemptResult = {
    end: 'broken',
    failure: { kind: 'answer_incomplete', message: '' },
    repeatable: false,
    ranBefore: false,
    headSent: false,
    resumable: true,
    retryAllowed: true,
  };
  const refused = { end: 'refused', failure: { kind: 'leaving', message: '' } } as const;

  // Guards against running a booking twice after the stream of the first attempt broke.
  it('never repeats a request that may not be repeated after it may have run', () => {
    for (const end of ['failed', 'silent', 'broken'] as const) {
      for (const headSent of [false, true]) {
        const decision = decideOutcome({ ...base, end, headSent });
        expect(decision.type).toBe(headSent ? 'abort' : 'tell');
      }
    }
    expect(decideOutcome({ ...base, ...refused, ranBefore: true }).type).toBe('tell');
    expect(decideOutcome({ ...base, ...refused }).type).toBe('retry');
  });

  // Guards against failing a request whose idempotency key makes a repeat safe, and against a
  // repeat after the caller has received part of the answer.
  it('repeats a keyed request after a broken stream only before the head', () => {
    const keyed = { ...base, keyed: true };
    expect(decideOutcome(keyed)).toEqual({ type: 'retry', ran: true });
    expect(decideOutcome({ ...keyed, headSent: true }).type).toBe('abort');
    expect(decideOutcome({ ...keyed, end: 'failed' }).type).toBe('tell');
    const later = { ...keyed, ...refused, ranBefore: true, retryAllowed: false };
    expect(decideOutcome(later)).toMatchObject({ failure: { kind: 'outcome_unknown' } });
  });

  // Guards against reporting "not run" when that holds for the last attempt only.
  it('reports "not run" only if no attempt may have been run', () => {
    const last = { ...base, ...refused, repeatable: true, retryAllowed: false };
    expect(decideOutcome(last)).toMatchObject({ failure: { kind: 'leaving' } });
    const after = decideOutcome({ ...last, ranBefore: true });
    expect(after).toMatchObject({ failure: { kind: 'answer_incomplete' } });
    const failure = { kind: 'leaving', message: '' } as const;
    const declared = decideOutcome({ ...base, end: 'failed', failure });
    expect(declared).toMatchObject({ failure: { kind: 'outcome_unknown' } });
  });

  // Guards against restarting a stream from its beginning after the caller has received bytes.
  it('resumes or aborts a started stream, but never restarts it', () => {
    const streaming = { ...base, repeatable: true, headSent: true };
    expect(decideOutcome(streaming).type).toBe('resume');
    expect(decideOutcome({ ...streaming, resumable: false }).type).toBe('abort');
    expect(decideOutcome({ ...streaming, headSent: false }).type).toBe('retry');
  });
});
