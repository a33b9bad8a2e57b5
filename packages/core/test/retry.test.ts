import { describe, expect, it } from 'vitest';
import type { ErrorKind, FailedAttempt } from '@limpetbay/core';
import {
  RetryBudget,
  SeededRandom,
  answerTable,
  chooseFailureKind,
  computeBackoff,
  decideRetry,
} from '@limpetbay/core';

function decide(kind: ErrorKind, values: Partial<FailedAttempt> = {}, budget = new RetryBudget()) {
  const failedAttempt: FailedAttempt = {
    failure: { kind, message: 'failed' },
    repeatable: true,
    mayHaveRun: false,
    bytesSent: false,
    resumable: true,
    attempts: 1,
    deadlineMs: 10_000,
    ...values,
  };
  return decideRetry(failedAttempt, budget, new SeededRandom(3));
}

function getKind(decision: ReturnType<typeof decide>): ErrorKind | null {
  return decision.action === 'fail' ? decision.failure.kind : null;
}

describe('decideRetry', () => {
  // Guards against a second run of a request that may run only once.
  it('repeats a request that may run only once after a refusal, not after other failures', () => {
    for (const kind of Object.keys(answerTable) as ErrorKind[]) {
      const { action } = decide(kind, { repeatable: false });
      expect(action === 'retry').toBe(answerTable[kind].retryElsewhere);
      expect(decide(kind, { repeatable: false, mayHaveRun: true }).action).toBe('fail');
    }
    expect(getKind(decide('target_error', { repeatable: false }))).toBe('outcome_unknown');
  });

  // Guards against an answer that says "not run" although an earlier attempt may have run.
  it('never answers "not run" after an attempt that may have run', () => {
    for (const kind of Object.keys(answerTable) as ErrorKind[]) {
      for (const repeatable of [true, false]) {
        expect(answerTable[chooseFailureKind(kind, repeatable, true)].run).not.toBe('no');
      }
      const failed = getKind(decide(kind, { mayHaveRun: true, deadlineMs: 0 }));
      if (failed !== null) expect(answerTable[failed].run).not.toBe('no');
    }
    expect(chooseFailureKind('overloaded', true, false)).toBe('overloaded');
  });

  // Guards against sending the beginning of an answer to the caller twice.
  it('resumes or fails once bytes were sent to the caller, never restarts', () => {
    expect(decide('answer_incomplete', { bytesSent: true }).action).toBe('resume');
    expect(decide('overloaded', { bytesSent: true, mayHaveRun: true }).action).toBe('resume');
    const broken = decide('answer_incomplete', { bytesSent: true, resumable: false });
    expect(getKind(broken)).toBe('answer_incomplete');
  });

  // Guards against failing targets that receive a multiple of their load.
  it('stops when the budget, the attempts or the time are used up', () => {
    const budget = new RetryBudget(0.1, 1);
    expect(decide('overloaded', {}, budget).action).toBe('retry');
    expect(getKind(decide('overloaded', {}, budget))).toBe('overloaded');
    expect(decide('overloaded', { attempts: 6 }).action).toBe('fail');
    expect(decide('overloaded', { deadlineMs: 0 }).action).toBe('fail');
  });

  // Guards against failed requests when a zone is taken out of service while the budget is empty.
  it('takes nothing from the budget for a refusal because of a stale view', () => {
    const budget = new RetryBudget(0.1, 1);
    budget.take();
    expect(decide('zone_out', {}, budget).action).toBe('retry');
    expect(decide('target_cold', {}, budget).action).toBe('fail');
  });
});

describe('RetryBudget', () => {
  // Guards against more retries than 10% of the requests plus the burst.
  it('allows the burst and then one retry per ten requests', () => {
    const budget = new RetryBudget();
    let taken = 0;
    for (let request = 0; request < 1000; request += 1) {
      budget.recordRequest();
      while (budget.take()) taken += 1;
    }
    expect(taken).toBeGreaterThanOrEqual(109);
    expect(taken).toBeLessThanOrEqual(110);
  });
});

describe('computeBackoff', () => {
  // Guards against simultaneous retries of many entries, and against unbounded delays.
  it('spreads delays over the whole interval and keeps them below the maximum', () => {
    const random = new SeededRandom(5);
    const delays = Array.from({ length: 500 }, () => computeBackoff(3, random));
    expect(Math.min(...delays)).toBeLessThan(5);
    expect(Math.max(...delays)).toBeGreaterThan(95);
    expect(Math.max(...delays)).toBeLessThan(100);
    expect(computeBackoff(60, random)).toBeLessThan(1000);
  });
});
