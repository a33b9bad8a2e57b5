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

function buildFrame(part: AnswerFrame['part'], change: Partial<AnswerFrame> = {}): AnswerFrame {
  return {
    requestId: 'r1' as RequestId,
    attempt: 2,
    incarnation: 5 as Incarnation,
    part,
    ...change,
  };
}

function buildAssembler(): AnswerAssembler {
  return new AnswerAssembler('r1' as RequestId, 2, 5 as Incarnation);
}

const head = buildFrame({ type: 'head', status: 200, headers: [], replayed: false });

function buildChunk(sequence: number, text: string): AnswerFrame {
  return buildFrame({ type: 'chunk', sequence, data: Buffer.from(text), tokens: 3 });
}

describe('AnswerAssembler', () => {
  // Guards against a caller that receives part of another request's answer.
  it('drops frames of another request, attempt or life and counts them', () => {
    const assembler = buildAssembler();
    expect(assembler.accept({ ...head, requestId: 'r2' as RequestId })).toBeNull();
    expect(assembler.accept({ ...head, attempt: 1 })).toBeNull();
    expect(assembler.accept({ ...head, incarnation: 4 as Incarnation })).toBeNull();
    expect(assembler.accept(head)?.type).toBe('head');
    expect(assembler.accept(head)).toBeNull();
    expect(assembler.accept(buildChunk(0, 'a'))?.type).toBe('bytes');
    expect(assembler.accept(buildChunk(0, 'a'))).toBeNull();
    expect(assembler.getDrops()).toEqual({
      request: 1,
      attempt: 1,
      incarnation: 1,
      repeated: 2,
      late: 0,
    });
    expect(assembler.getResumeOffset()).toBe(3);
  });

  // Guards against a truncated answer that the caller takes as complete.
  it('is complete only with an end frame and matching counts', () => {
    const parts: [chunks: number, bytes: number, type: string][] = [
      [1, 2, 'complete'],
      [2, 2, 'failed'],
      [1, 3, 'failed'],
    ];
    for (const [chunks, bytes, type] of parts) {
      const assembler = buildAssembler();
      assembler.accept(head);
      assembler.accept(buildChunk(0, 'ab'));
      expect(assembler.accept(buildFrame({ type: 'end', chunks, bytes, load }))?.type).toBe(type);
      expect(assembler.acceptBreak('broken')).toBeNull();
    }
    const broken = buildAssembler();
    broken.accept(head);
    expect(broken.acceptBreak('broken')).toMatchObject({ type: 'failed', end: 'broken' });
    const gap = buildAssembler();
    gap.accept(head);
    expect(gap.accept(buildChunk(1, 'b'))).toMatchObject({ type: 'failed', end: 'broken' });
  });

  // Guards against "not run" for a request whose target has begun to answer.
  it('does not take a refusal after the head as a declaration', () => {
    const assembler = buildAssembler();
    assembler.accept(head);
    const refused = {
      type: 'refused',
      kind: 'leaving',
      message: '',
      retryAfterMs: 0,
      load,
    } as const;
    expect(assembler.accept(buildFrame(refused))).toMatchObject({ type: 'failed', end: 'broken' });
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

  // Guards against a second booking after the stream of the first attempt broke.
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

  // Guards against a keyed booking that is given up although its claim makes a repeat safe, and
  // against a repeat after the caller has seen a part of the answer.
  it('repeats a keyed request after a broken stream, before the head only', () => {
    const keyed = { ...base, keyed: true };
    expect(decideOutcome(keyed)).toEqual({ type: 'retry', ran: true });
    expect(decideOutcome({ ...keyed, headSent: true }).type).toBe('abort');
    expect(decideOutcome({ ...keyed, end: 'failed' }).type).toBe('tell');
    const later = { ...keyed, ...refused, ranBefore: true, retryAllowed: false };
    expect(decideOutcome(later)).toMatchObject({ failure: { kind: 'outcome_unknown' } });
  });

  // Guards against "not run" that is true for the last attempt only.
  it('tells "not run" only if no attempt may have been run', () => {
    const last = { ...base, ...refused, repeatable: true, retryAllowed: false };
    expect(decideOutcome(last)).toMatchObject({ failure: { kind: 'leaving' } });
    const after = decideOutcome({ ...last, ranBefore: true });
    expect(after).toMatchObject({ failure: { kind: 'answer_incomplete' } });
    const failure = { kind: 'leaving', message: '' } as const;
    const declared = decideOutcome({ ...base, end: 'failed', failure });
    expect(declared).toMatchObject({ failure: { kind: 'outcome_unknown' } });
  });

  // Guards against a stream that restarts from its beginning after the caller has received bytes.
  it('resumes a stream or aborts it, but never starts it again', () => {
    const streaming = { ...base, repeatable: true, headSent: true };
    expect(decideOutcome(streaming).type).toBe('resume');
    expect(decideOutcome({ ...streaming, resumable: false }).type).toBe('abort');
    expect(decideOutcome({ ...streaming, headSent: false }).type).toBe('retry');
  });
});
