import { describe, expect, it } from 'vitest';
import {
  decideAnswer,
  type AnswerDecision,
  type AwaitedAnswer,
  type DirectAnswerHead,
  type ReceivedAnswer,
} from '../../src/index.js';

type RouteKind = AwaitedAnswer['route']['kind'];

interface Row {
  readonly name: string;
  readonly kind?: RouteKind;
  readonly awaited?: Partial<AwaitedAnswer>;
  /** Null where no complete head arrived. */
  readonly head?: Partial<DirectAnswerHead> | null;
  readonly received?: Partial<ReceivedAnswer>;
  readonly expected: string;
}

function decide({ kind = 'unsafe', awaited, head, received }: Row): string {
  const base = {
    status: 200,
    requestId: 'own',
    isSigned: true,
    isNotRun: false,
    isMisdirected: head?.status === 421,
    isLeaving: false,
    retryAfterMs: null,
  };
  const decision: AnswerDecision = decideAnswer(
    {
      route: { kind },
      requestId: 'own',
      resumedAfter: null,
      hasBegun: false,
      mayHaveRun: false,
      ...awaited,
    },
    {
      head: head === null ? null : { ...base, ...head },
      isFirst: false,
      end: 'complete',
      isForwarded: false,
      events: 0,
      firstEventId: null,
      pendingBytes: 0,
      ...received,
    },
  );
  return decision.kind === 'answered' ? 'answered' : `${decision.outcome}, ${decision.ifLast}`;
}

const KINDS: readonly RouteKind[] = ['safe', 'unsafe', 'stream'];

const PROMISES = [408, 421, 429, 503];

function listRows(): Row[] {
  const rows: Row[] = [];
  const add = (row: Row): number => rows.push(row);
  const unknown = 'broken, outcome_unknown';
  for (const kind of KINDS) {
    const events = kind === 'stream' ? 3 : 0;
    const whole = { kind, received: { events } };
    const bare = { kind };
    add({ ...whole, name: `${kind}: signed success`, expected: 'answered' });
    add({ ...whole, name: `${kind}: 204`, head: { status: 204 }, expected: 'answered' });
    add({ ...bare, name: `${kind}: unsigned`, head: { isSigned: false }, expected: unknown });
    add({ ...bare, name: `${kind}: not run`, head: { isNotRun: true }, expected: unknown });
    for (const requestId of ['other', null]) {
      const name = `${kind}: success for ${requestId ?? 'no request'}`;
      add({ ...bare, name, head: { requestId }, expected: unknown });
    }
    const broken = kind === 'stream' ? 'broken, abort' : unknown;
    const isCut = { kind, received: { events, end: 'cut' } } as const;
    add({ ...isCut, name: `${kind}: cut success`, expected: broken });
    const noEvents = { kind, received: { end: 'cut' } } as const;
    add({ ...noEvents, name: `${kind}: cut in the head`, head: null, expected: unknown });
    for (const status of [400, 409, 500]) {
      add({ ...noEvents, name: `${kind}: cut ${status}`, head: { status }, expected: unknown });
    }
    for (const status of [302, 400, 401, 404, 409]) {
      for (const isSigned of [true, false]) {
        const name = `${kind}: ${status}, ${isSigned ? 'signed' : 'unsigned'}`;
        add({ kind, name, head: { status, isSigned }, expected: 'answered' });
      }
    }
    for (const status of [500, 502, 504]) {
      add({ kind, name: `${kind}: ${status}`, head: { status }, expected: 'failed, forward' });
    }
    for (const status of PROMISES) {
      const refusal = { status, isNotRun: true, isSigned: false };
      const name = `${kind}: refusal ${status}`;
      add({ kind, name, head: refusal, expected: 'rejected, not_run' });
      add({
        kind,
        name: `${name}, cut`,
        head: refusal,
        received: { end: 'cut' },
        expected: unknown,
      });
      const foreign = { ...refusal, requestId: 'other' };
      add({ kind, name: `${name} for another request`, head: foreign, expected: unknown });
      const isFirst = { received: { isFirst: true } };
      add({ kind, ...isFirst, name: `${name}, foreign, first`, head: foreign, expected: unknown });
      const anonymous = { ...refusal, requestId: null };
      add({ kind, name: `${name} without an id`, head: anonymous, expected: unknown });
      add({
        kind,
        ...isFirst,
        name: `${name} without an id, first on its connection`,
        head: anonymous,
        expected: 'rejected, not_run',
      });
      const awaited = { mayHaveRun: true };
      add({
        kind,
        awaited,
        name: `${name} after an attempt that may have run`,
        head: refusal,
        expected: 'rejected, outcome_unknown',
      });
      if (status === 421) continue;
      const unproven = { status, isNotRun: false };
      add({
        kind,
        name: `${kind}: ${status} without a statement`,
        head: unproven,
        expected: unknown,
      });
    }
    const unsent = { head: null, received: { end: 'unsent' } } as const;
    add({ kind, ...unsent, name: `${kind}: unsent`, expected: 'unreachable, not_run' });
    add({
      kind,
      ...unsent,
      name: `${kind}: unsent after an attempt that may have run`,
      awaited: { mayHaveRun: true },
      expected: 'unreachable, outcome_unknown',
    });
  }
  const stream = { kind: 'stream' } as const;
  const isPartial = { received: { events: 2, pendingBytes: 5 } };
  add({
    ...stream,
    ...isPartial,
    name: 'stream: ended inside an event',
    expected: 'broken, abort',
  });
  add({ ...stream, name: 'stream: ended before its first event', expected: unknown });
  const resumed = { ...stream, awaited: { resumedAfter: '9' } };
  add({ ...resumed, name: 'stream: resumed, nothing to add', expected: 'answered' });
  for (const [firstEventId, expected] of [
    ['10', 'answered'],
    ['9', 'broken, abort'],
    ['1', 'broken, abort'],
    ['x', 'answered'],
    [null, 'answered'],
  ] as const) {
    const name = `stream: resumed after 9 with ${firstEventId}`;
    add({ ...resumed, name, received: { events: 1, firstEventId }, expected });
  }
  const begun = { ...stream, awaited: { resumedAfter: '9', hasBegun: true, mayHaveRun: true } };
  add({ ...begun, name: 'begun: rest', received: { events: 1 }, expected: 'answered' });
  add({ ...begun, name: 'begun: nothing to add', expected: 'answered' });
  add({ ...begun, name: 'begun: unsigned', head: { isSigned: false }, expected: 'broken, abort' });
  add({ ...begun, name: 'begun: cut', received: { end: 'cut' }, expected: 'broken, abort' });
  add({
    ...begun,
    name: 'begun: no head',
    head: null,
    received: { end: 'cut' },
    expected: 'broken, abort',
  });
  for (const status of [302, 400, 401, 404, 409, 500, 504]) {
    for (const isSigned of [true, false]) {
      const name = `begun: ${status}, ${isSigned ? 'signed' : 'unsigned'}`;
      add({ ...begun, name, head: { status, isSigned }, expected: 'failed, abort' });
    }
  }
  for (const status of PROMISES) {
    const refusal = { status, isNotRun: true };
    add({ ...begun, name: `begun: refusal ${status}`, head: refusal, expected: 'rejected, abort' });
    const foreign = { ...refusal, requestId: 'other' };
    add({ ...begun, name: `begun: foreign ${status}`, head: foreign, expected: 'broken, abort' });
  }
  return rows;
}

// Guards against an answer whose meaning is taken from one of its fields.
describe('decideAnswer', () => {
  it.each(listRows())('$name: $expected', (row) => {
    expect(decide(row)).toBe(row.expected);
  });
});
