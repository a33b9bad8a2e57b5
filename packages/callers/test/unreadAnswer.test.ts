import { beforeEach, expect, it } from 'vitest';
import { AnswerBudget, BodyBudget, ManualClock } from '@limpetbay/core';
import { DirectAnswer, type DroppedAnswer } from '../src/index.js';

const MAX_BYTES = 100_000;

/** Time without progress after which an answer may be dropped. */
const STALLED_MS = 5000;

/** The response of a caller that takes what it is sent only when it is told to. */
class FakeResponse {
  headersSent = false;

  destroyed = false;

  writableLength = 0;

  readonly #waiting: { readonly bytes: number; readonly onTaken: () => void }[] = [];

  writeHead(): void {
    this.headersSent = true;
  }

  write(data: Uint8Array, onTaken: () => void): boolean {
    this.writableLength += data.length;
    this.#waiting.push({ bytes: data.length, onTaken });
    return false;
  }

  setTimeout(): void {}

  destroy(): void {
    this.destroyed = true;
    this.writableLength = 0;
  }

  /** Takes the oldest part that was written. */
  take(): void {
    const part = this.#waiting.shift();
    this.writableLength -= part?.bytes ?? 0;
    part?.onTaken();
  }
}

let clock: ManualClock;
let budget: AnswerBudget;
let dropped: DroppedAnswer[];

function startAnswer(): { answer: DirectAnswer; response: FakeResponse } {
  const response = new FakeResponse();
  const answer = new DirectAnswer(response as never, () => false, {
    clock,
    budget,
    getIdleTimeoutMs: () => 15_000,
    onDropped: (drop) => dropped.push(drop),
    onEnded: () => {},
  });
  answer.start(200, []);
  return { answer, response };
}

beforeEach(() => {
  clock = new ManualClock();
  budget = new AnswerBudget(new BodyBudget(2 * MAX_BYTES, clock), clock, MAX_BYTES);
  dropped = [];
});

// Guards against the loss of an answer that has just begun to the answers before it.
it('drops no answer that its caller reads', () => {
  const reading = startAnswer();
  for (let part = 0; part < 8; part += 1) reading.answer.write(Buffer.alloc(10_000));
  for (let taken = 0; taken < 5; taken += 1) {
    clock.advance(STALLED_MS - 1);
    reading.response.take();
  }
  startAnswer().answer.write(Buffer.alloc(MAX_BYTES));
  expect(dropped).toEqual([]);
  expect(budget.hasSpace(MAX_BYTES)).toBe(false);
});

it('drops an answer of which nothing was taken for 5 s, where memory is needed', () => {
  const stalled = startAnswer();
  stalled.answer.write(Buffer.alloc(20_000));
  clock.advance(STALLED_MS);
  expect(stalled.response.destroyed).toBe(false);
  startAnswer().answer.write(Buffer.alloc(MAX_BYTES));
  expect(stalled.response.destroyed).toBe(true);
  expect(dropped).toEqual([{ cause: 'memory', bytes: 20_000, noProgressMs: STALLED_MS }]);
});

// Guards against an answer that counts as unread while there was nothing to read.
it('does not count the time before there is anything to take', () => {
  const { answer, response } = startAnswer();
  answer.write(Buffer.alloc(1000));
  response.take();
  clock.advance(STALLED_MS);
  answer.write(Buffer.alloc(1000));
  expect(answer.isPinned()).toBe(true);
});

it('tells once when the connection has taken enough', () => {
  let calls = 0;
  const { answer, response } = startAnswer();
  for (let part = 0; part < 3; part += 1) answer.write(Buffer.alloc(1000));
  answer.waitUntilTaken(1000, () => {
    calls += 1;
  });
  response.take();
  expect(calls).toBe(0);
  response.take();
  response.take();
  expect(calls).toBe(1);
});
