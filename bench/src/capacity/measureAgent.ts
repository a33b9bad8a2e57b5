import {
  AttemptCache,
  ManualClock,
  TargetAdmission,
  type AdmissionItem,
  type AnswerFrame,
  type Incarnation,
  type RequestId,
  type TargetId,
  type Workspace,
  type Zone,
} from '@limpetbay/core';
import { AnswerWriter } from '@limpetbay/agent';
import { dispatchService, encodeFrame } from '@limpetbay/rpc';
import type { CapacitySlope } from './CapacitySlope.js';
import { createDocument } from './createDocument.js';
import { measureCpu } from './measureCpu.js';
import { measureHeap } from './measureHeap.js';
import { measureSlope } from './measureSlope.js';

const OPERATIONS = [5000, 10_000, 20_000];
const RUNNING = 32;
const { responseSerialize } = dispatchService.Run!;

function createItem(clock: ManualClock, index: number): AdmissionItem {
  return {
    requestId: `7b0f3f5e-5c0e-4a57-9a57-${index}` as RequestId,
    attempt: 1,
    workspace: `estate-${index % 50}` as Workspace,
    priority: 'normal',
    deadlineMs: clock.getNow() + 30_000,
    promptTokens: 1000,
    maxTokens: 341,
    repeatable: true,
  };
}

function createAdmission(clock: ManualClock, start: number): TargetAdmission {
  const admission = new TargetAdmission({ clock, target: 'canerota-0' as TargetId });
  const versioned = createDocument(8, 3500);
  const document = versioned.document!;
  admission.setZone('zone-0' as Zone);
  admission.setConnectivity({ storeConfirmedMs: 0, outsideZoneHeardMs: 0, zoneCount: 1 });
  admission.setDocument({
    ...versioned,
    document: {
      ...document,
      ramp: { ...document.ramp, start },
      limits: { ...document.limits, queue: 20_000 },
    },
  });
  return admission;
}

/** Time of an attempt: submit, finish and one tick in ten, with others in progress. */
async function measureAttempt(): Promise<CapacitySlope> {
  const clock = new ManualClock();
  const admission = createAdmission(clock, 64);
  let next = 0;
  const running: AdmissionItem[] = [];
  const run = (): void => {
    clock.advance(2);
    const item = createItem(clock, next);
    next += 1;
    if (admission.submit(item).type === 'start') running.push(item);
    if (running.length > RUNNING) {
      const oldest = running.shift()!;
      admission.finish(oldest, { serviceTimeMs: 64, stepTimeMs: 45, error: false });
    }
    if (next % 10 === 0) admission.tick();
  };
  measureCpu(OPERATIONS[0]!, run);
  return measureSlope(
    { id: 'agent.attempt', unit: 'us', per: 'attempt', kind: 'time' },
    OPERATIONS,
    (count) => measureCpu(count, run),
  );
}

/** Time of the ticks between attempts. */
async function measureTick(): Promise<CapacitySlope> {
  const clock = new ManualClock();
  const admission = createAdmission(clock, 64);
  for (let index = 0; index < RUNNING; index += 1) admission.submit(createItem(clock, index));
  const run = (): void => {
    clock.advance(20);
    const nowMs = clock.getNow();
    const heard = { storeConfirmedMs: nowMs, outsideZoneHeardMs: nowMs, zoneCount: 8 };
    admission.setConnectivity(heard);
    admission.tick();
  };
  measureCpu(OPERATIONS[0]!, run);
  return measureSlope(
    { id: 'agent.tick', unit: 'us', per: 'tick', kind: 'time' },
    OPERATIONS,
    (count) => measureCpu(count, run),
  );
}

/** Time of one answer frame: the writer's counts and the encoding. */
async function measureFrame(): Promise<CapacitySlope> {
  const data = Buffer.from('data: {"choices":[{"index":0,"delta":{"content":" cane"}}]}\n\n');
  const attempt = { requestId: '7b0f3f5e-5c0e-4a57-9a57-0d2b0c7f1a11', attempt: 1 };
  const runFrames = (count: number): number => {
    const writer = new AnswerWriter(
      { ...attempt, incarnation: 1_767_225_600_000_000 } as never,
      1_767_225_600_000_000 as Incarnation,
      (frame: AnswerFrame) => responseSerialize(encodeFrame(frame)).byteLength > 0,
      () => undefined,
    );
    return measureCpu(count, () => writer.append(data, 1));
  };
  runFrames(OPERATIONS[0]!);
  return measureSlope(
    { id: 'agent.frame', unit: 'us', per: 'answer frame', kind: 'time' },
    OPERATIONS,
    runFrames,
  );
}

async function measureMemories(): Promise<CapacitySlope[]> {
  return [
    await measureSlope(
      { id: 'agent.attempt-memory', unit: 'bytes', per: 'remembered attempt', kind: 'memory' },
      OPERATIONS,
      (count) =>
        measureHeap(() => {
          const memory = new AttemptCache(count);
          for (let index = 0; index < count; index += 1) {
            // A new string, as it arrives from the wire.
            memory.add(Buffer.from(`1:7b0f3f5e-5c0e-4a57-9a57-${index}`).toString(), index);
          }
          return memory;
        }),
    ),
    await measureSlope(
      { id: 'agent.queue-memory', unit: 'bytes', per: 'queued item', kind: 'memory' },
      [1024, 2048, 4096],
      (count) =>
        measureHeap(() => {
          const clock = new ManualClock();
          const admission = createAdmission(clock, 64);
          for (let index = 0; index < count + 64; index += 1) {
            admission.submit({ ...createItem(clock, index), priority: 'high' });
          }
          return admission;
        }),
    ),
  ];
}

/** Measures the lines of an agent. */
export async function measureAgent(): Promise<CapacitySlope[]> {
  return [
    ...(await measureMemories()),
    await measureAttempt(),
    await measureTick(),
    await measureFrame(),
  ];
}
