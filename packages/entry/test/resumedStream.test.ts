import { afterEach, beforeEach, expect, it } from 'vitest';
import {
  Incarnation,
  ServiceName,
  TargetId,
  Workspace,
  type AnswerFrame,
  type Attempt,
  type LoadReport,
} from '@limpetbay/core';
import type { CallerRequest } from '@limpetbay/callers';
import { waitUntil } from '@limpetbay/runtime';
import { EntryFixture } from './support/EntryFixture.js';
import { RecordingAnswer } from './support/RecordingAnswer.js';

type Part = AnswerFrame['part'];

const WAIT_MS = 10_000;

const load: LoadReport = {
  target: TargetId.parse('canerota-0'),
  incarnation: Incarnation.parse(1),
  state: 'serving',
  inFlight: 0,
  limit: 8,
  queued: 0,
  queueDelayMs: 0,
  stepTimeMs: 20,
  tokensInFlight: 0,
  queuedPromptTokens: 0,
  kvFree: 1,
  configRevision: 1,
};
const head: Part = { type: 'head', status: 200, headers: [], replayed: false };

function buildChunk(text: string): Part {
  return { type: 'chunk', sequence: 0, data: Buffer.from(text), tokens: 1 };
}

function buildRequest(deadlineMs: number): CallerRequest {
  return {
    kind: 'chat',
    service: ServiceName.parse('canerota'),
    method: 'POST',
    path: '/v1/chat/completions',
    headers: [],
    body: Buffer.from('{}'),
    workspace: Workspace.parse('estate-1'),
    priority: 'normal',
    deadlineMs,
    idempotencyKey: '',
    keyTimeMs: 0,
    stream: true,
    promptTokens: 1,
    maxTokens: 2,
    prompt: 'prompt',
  };
}

let state: LoadReport['state'];
let attempts: Attempt[];
let fixture: EntryFixture;

beforeEach(async () => {
  state = 'serving';
  attempts = [];
  fixture = await EntryFixture.start({
    run: (attempt, send, finish) => {
      attempts.push(attempt);
      const { requestId, attempt: number } = attempt;
      const incarnation = Incarnation.parse(attempt.incarnation === 0 ? 1 : attempt.incarnation);
      const isolated = { ...load, state };
      let parts: Part[] = [];
      if (state === 'isolated') {
        const refusal = { message: 'no contact', retryAfterMs: 0, load: isolated };
        parts = [{ type: 'refused', kind: 'isolated', ...refusal }];
      } else if (attempt.resumeFrom === 0) {
        state = 'isolated';
        const failure = { message: 'the engine ended', load: { ...load, state } };
        parts = [head, buildChunk('first '), { type: 'failed', kind: 'target_error', ...failure }];
      } else {
        parts = [head, buildChunk('second'), { type: 'end', chunks: 1, bytes: 6, load }];
      }
      for (const part of parts) send({ requestId, attempt: number, incarnation, part });
      finish();
      return () => undefined;
    },
    getLoad: () => ({ ...load, state }),
  });
});

afterEach(() => fixture.stop());

// Guards against an answer that is broken off, with time left, because no target accepts new work
// for a moment after its stream broke.
it('resumes a stream when a target serves again', async () => {
  const answer = new RecordingAnswer();
  fixture.entry.acceptRequest(buildRequest(30_000), answer);
  await waitUntil(() => answer.text !== '', WAIT_MS);
  expect(await waitUntil(() => answer.hasEnded, 500)).toBe(false);
  state = 'serving';
  await waitUntil(() => answer.hasEnded, WAIT_MS);
  expect(answer).toMatchObject({ text: 'first second', failure: null });
  expect(attempts[attempts.length - 1]!.resumeFrom).toBe(1);
});

// Guards against a stream that waits for a target after its deadline.
it('ends a stream at its deadline when no target serves until then', async () => {
  const answer = new RecordingAnswer();
  const startMs = fixture.clock.getNow();
  fixture.entry.acceptRequest(buildRequest(1000), answer);
  await waitUntil(() => answer.hasEnded, WAIT_MS);
  expect(answer).toMatchObject({ text: 'first ', failure: { kind: 'timed_out' } });
  expect(fixture.clock.getNow() - startMs).toBeGreaterThanOrEqual(1000);
});

// Guards against a request that waits although nothing was sent to its caller, who could use another
// entry.
it('refuses a request at once when no target serves before its answer begins', async () => {
  state = 'isolated';
  const answer = new RecordingAnswer();
  fixture.entry.acceptRequest(buildRequest(30_000), answer);
  await waitUntil(() => answer.hasEnded, WAIT_MS);
  expect(answer).toMatchObject({ text: '', failure: { kind: 'isolated' } });
  expect(attempts).toHaveLength(1);
});
