import { beforeEach, expect, it } from 'vitest';
import { AnswerBudget, BodyBudget, ManualClock } from '../../src/index.js';

const MAX_BODY_BYTES = 1_000_000;

const MAX_ANSWER_BYTES = 400_000;

/** Answers that are larger may be refused. */
const SMALL_BYTES = 16_384;

let bodies: BodyBudget;
let answers: AnswerBudget;
let evicted: string[];

/** Creates an answer that gives up its bytes when it is evicted. */
function createAnswer(name: string, isPinned = true) {
  const answer = {
    isPinned: () => isPinned,
    evict: () => {
      evicted.push(name);
      answers.update(answer, 0);
    },
  };
  return answer;
}

beforeEach(() => {
  const clock = new ManualClock();
  bodies = new BodyBudget(MAX_BODY_BYTES, clock);
  answers = new AnswerBudget(bodies, clock, MAX_ANSWER_BYTES);
  evicted = [];
});

// Guards against answers that are read from targets faster than callers take them.
it('is short from half of its limit on', () => {
  const answer = createAnswer('answer');
  answers.update(answer, MAX_ANSWER_BYTES / 2 - 1);
  expect(answers.isShort()).toBe(false);
  answers.update(answer, MAX_ANSWER_BYTES / 2);
  expect(answers.isShort()).toBe(true);
  answers.update(answer, 0);
  expect(answers.isShort()).toBe(false);
});

it('is short where bodies of other kinds take three quarters of their limit', () => {
  bodies.update(createAnswer('request'), (MAX_BODY_BYTES * 3) / 4);
  expect(answers.isShort()).toBe(true);
});

// Guards against requests that run although nothing can take their answers, and against the refusal
// of those whose answers are small.
it('has no space for a further large answer at its limit', () => {
  answers.update(createAnswer('first'), MAX_ANSWER_BYTES - 1);
  expect(answers.hasSpace(MAX_ANSWER_BYTES)).toBe(true);
  answers.update(createAnswer('second'), 1);
  expect(answers.hasSpace(SMALL_BYTES + 1)).toBe(false);
  expect(answers.hasSpace(SMALL_BYTES)).toBe(true);
});

// Guards against an answer that is counted after it was dropped.
it('counts nothing of an answer that was evicted as it grew', () => {
  answers.update(createAnswer('read'), MAX_ANSWER_BYTES / 2);
  answers.update(createAnswer('stalled', false), MAX_ANSWER_BYTES);
  expect(evicted).toEqual(['stalled']);
  expect(answers.countBytes()).toBe(MAX_ANSWER_BYTES / 2);
  expect(bodies.countBytes()).toBe(MAX_ANSWER_BYTES / 2);
});

it('counts nothing of an answer that the limit of all bodies evicted', () => {
  bodies.update(createAnswer('request'), MAX_BODY_BYTES);
  answers.update(createAnswer('stalled', false), 1000);
  expect(evicted).toEqual(['stalled']);
  expect(answers.countBytes()).toBe(0);
  expect(bodies.countBytes()).toBe(MAX_BODY_BYTES);
});
