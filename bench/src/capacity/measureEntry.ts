import { Writable } from 'node:stream';
import {
  AnswerAssembler,
  ManualClock,
  ProgressMonitor,
  RetryBudget,
  SeededRandom,
  Workspace,
  WorkspaceLimiter,
  decideRetry,
  type AnswerFrame,
  type Incarnation,
  type RequestId,
  type RouteRequest,
} from '@limpetbay/core';
import { RequestRun, hashPrefixes } from '@limpetbay/entry';
import { decodeFrame, dispatchService, encodeFrame, type WireFrame } from '@limpetbay/rpc';
import type { CapacitySlope } from './CapacitySlope.js';
import { createRouteFixture } from './createRouteFixture.js';
import { measureCpu } from './measureCpu.js';
import { measureHeap } from './measureHeap.js';
import { measureSlope } from './measureSlope.js';

const SEED = 31;
const SMALL_COPIES = 32;
const FLEETS = [575, 1150, 2300];
const PICKS = 8000;
/** One request in this many meets a failure, so that the retry decision is part of the path. */
const FAILED_EVERY = 50;
const OPERATIONS = [5000, 10_000, 20_000];
const { responseSerialize, responseDeserialize } = dispatchService.Run!;

function createRequest(service: RouteRequest['service'], index: number): RouteRequest {
  return {
    service,
    workspace: Workspace.parse(`estate-${index}`),
    priority: 'normal',
    promptTokens: 1000,
    maxTokens: 341,
    deadlineMs: 30_000,
    repeatable: true,
    tried: new Set(),
    prefixHashes: hashPrefixes(`shift notes of gang ${index} `.repeat(150)),
  };
}

/** Time of a pick with its records, over targets known. */
async function measurePick(): Promise<CapacitySlope> {
  return measureSlope(
    { id: 'entry.pick', unit: 'us', per: 'target known', kind: 'time' },
    FLEETS,
    (count) => {
      const clock = new ManualClock();
      const { router, service } = createRouteFixture(clock, count);
      const requests = Array.from({ length: 64 }, (_, index) => createRequest(service, index));
      const pick = (index: number): void => {
        const request = requests[index % requests.length]!;
        clock.advance(2);
        const decision = router.pick(request).unwrap();
        router.recordSend(decision, request);
        router.recordFinish(decision, 'complete');
      };
      measureCpu(PICKS / 4, pick);
      return measureCpu(PICKS, pick) / PICKS;
    },
  );
}

/** Time of everything that an entry decides for one request, with 2,300 targets known. */
async function measurePath(): Promise<CapacitySlope> {
  const clock = new ManualClock();
  const random = new SeededRandom(SEED);
  const { router, service, reports } = createRouteFixture(clock, FLEETS[FLEETS.length - 1]!);
  const limiter = new WorkspaceLimiter({ clock, random });
  const budget = new RetryBudget();
  const progress = new ProgressMonitor(clock, 20);
  const requests = Array.from({ length: 64 }, (_, index) => createRequest(service, index));
  const byTarget = new Map(reports.map((report) => [report.target, report]));
  const run = (index: number): void => {
    const request = requests[index % requests.length]!;
    clock.advance(2);
    const workspace = `estate-${index % 2000}`;
    limiter.admit(workspace, 1 + request.promptTokens + request.maxTokens);
    budget.recordRequest();
    const decision = router.pick(request).unwrap();
    const requestId = `request-${index}` as RequestId;
    const load = byTarget.get(decision.target)!;
    const { incarnation } = load;
    const assembler = new AnswerAssembler(requestId, 1, incarnation);
    progress.add(requestId, decision.target, 3000);
    router.recordSend(decision, request);
    const accept = (part: AnswerFrame['part']): void => {
      progress.recordProgress(requestId);
      router.recordFrame(decision.target);
      assembler.handleFrame({ requestId, attempt: 1, incarnation, part });
    };
    accept({ type: 'accepted', load });
    router.handleLoad(load);
    if (index % FAILED_EVERY === 0) {
      const failure = { kind: 'overloaded', message: 'the queue is full' } as const;
      router.recordFinish(decision, failure.kind);
      const state = { repeatable: true, mayHaveRun: false, bytesSent: false, resumable: true };
      decideRetry({ failure, ...state, attempts: 1, deadlineMs: 29_000 }, budget, random);
    } else {
      accept({ type: 'head', status: 200, headers: [], replayed: false });
      accept({ type: 'end', chunks: 0, bytes: 0, load });
      router.handleLoad(load);
      router.recordFinish(decision, 'complete');
    }
    progress.remove(requestId);
  };
  measureCpu(OPERATIONS[0]!, run);
  return measureSlope(
    { id: 'entry.request', unit: 'us', per: 'request', kind: 'time' },
    OPERATIONS,
    (count) => measureCpu(count, run),
  );
}

/** Time of one answer frame: decoding, checks and the write to a caller that takes everything. */
async function measureFrame(): Promise<CapacitySlope> {
  const sink = new Writable({ write: (_data, _encoding, done) => done() });
  const requestId = '7b0f3f5e-5c0e-4a57-9a57-0d2b0c7f1a11' as RequestId;
  const incarnation = 1_767_225_600_000_000 as Incarnation;
  const data = Buffer.from('data: {"choices":[{"index":0,"delta":{"content":" cane"}}]}\n\n');
  const build = (part: AnswerFrame['part']): Buffer =>
    responseSerialize(encodeFrame({ requestId, attempt: 1, incarnation, part }));
  const runFrames = (count: number): number => {
    const assembler = new AnswerAssembler(requestId, 1, incarnation);
    const head = build({ type: 'head', status: 200, headers: [], replayed: false });
    assembler.handleFrame(decodeFrame(responseDeserialize(head) as WireFrame)!);
    const frames: Buffer[] = [];
    for (let sequence = 0; sequence < count; sequence += 1) {
      frames.push(build({ type: 'chunk', sequence, data, tokens: 1 }));
    }
    return measureCpu(count, (index) => {
      const frame = decodeFrame(responseDeserialize(frames[index]!) as WireFrame)!;
      const event = assembler.handleFrame(frame);
      if (event?.type !== 'bytes') throw new Error('a chunk was dropped');
      sink.write(event.data);
    });
  };
  runFrames(OPERATIONS[0]!);
  return measureSlope(
    { id: 'entry.frame', unit: 'us', per: 'answer frame', kind: 'time' },
    OPERATIONS,
    runFrames,
  );
}

/** Time of a membership or document change, over targets known. */
async function measureUpdate(): Promise<CapacitySlope> {
  return measureSlope(
    { id: 'entry.update', unit: 'us', per: 'target known', kind: 'time' },
    FLEETS,
    (count) => {
      const { router, service, targets } = createRouteFixture(new ManualClock(), count);
      const update = (): void => router.updateTargets(service, targets);
      measureCpu(10, update);
      return measureCpu(20, update) / 20;
    },
  );
}

async function measureTargetMemory(): Promise<CapacitySlope> {
  return measureSlope(
    { id: 'entry.target-memory', unit: 'bytes', per: 'target known', kind: 'memory' },
    FLEETS,
    (count) => measureHeap(() => createRouteFixture(new ManualClock(), count)),
  );
}

async function measureRequestMemory(): Promise<CapacitySlope> {
  const clock = new ManualClock();
  const { router, service } = createRouteFixture(clock, FLEETS[0]!);
  return measureSlope(
    { id: 'entry.request-memory', unit: 'bytes', per: 'request in progress', kind: 'memory' },
    [512, 1024, 2048],
    (count) =>
      measureHeap(() => {
        const progress = new ProgressMonitor(clock, 20);
        const runs: RequestRun[] = [];
        for (let index = 0; index < count; index += 1) {
          const request = createRequest(service, index);
          const prefixHashes = request.prefixHashes ?? [];
          const body = Buffer.from(`shift notes of gang ${index} `.repeat(150));
          const run = new RequestRun({
            id: `7b0f3f5e-5c0e-4a57-9a57-0d2b0c7${index}` as RequestId,
            request: { ...request, body, headers: [], stream: true } as never,
            answer: {} as never,
            repeatable: true,
            resumable: true,
            deadlineAtMs: 30_000,
            configRevision: 1,
            prefixHashes,
          });
          const decision = router.pick(request).unwrap();
          run.startAttempt(decision, '10.0.0.1:7000');
          progress.add(run.streamKey, '10.0.0.1:7000', 3000);
          runs.push(run);
        }
        return [runs, progress];
      }),
  );
}

async function measureWorkspaceMemory(): Promise<CapacitySlope> {
  return measureSlope(
    { id: 'entry.workspace-memory', unit: 'bytes', per: 'active workspace', kind: 'memory' },
    [512, 1024, 2048],
    (count) =>
      measureHeap(() => {
        const random = new SeededRandom(SEED);
        const limiter = new WorkspaceLimiter({ clock: new ManualClock(), random });
        for (let index = 0; index < count; index += 1) limiter.admit(`estate-${index}`, 1341);
        return limiter;
      }, SMALL_COPIES),
  );
}

/** Measures the lines of an entry. */
export async function measureEntry(): Promise<CapacitySlope[]> {
  return [
    await measureTargetMemory(),
    await measureRequestMemory(),
    await measureWorkspaceMemory(),
    await measurePick(),
    await measurePath(),
    await measureFrame(),
    await measureUpdate(),
  ];
}
