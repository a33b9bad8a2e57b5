import { setImmediate as waitTurn } from 'node:timers/promises';
import {
  AnswerAssembler,
  Attempt,
  ManualClock,
  type AnswerFrame,
  type LoadReport,
} from '@limpetbay/core';
import { AnswerWriter } from '@limpetbay/agent';
import {
  DispatchClient,
  createDispatchService,
  dispatchService,
  openServer,
  type DispatchHandler,
} from '@limpetbay/rpc';
import type { CapacitySlope } from './CapacitySlope.js';
import { createRouteFixture } from './createRouteFixture.js';
import { measureSlope } from './measureSlope.js';

const STREAMS = 64;
const data = Buffer.from('data: {"choices":[{"index":0,"delta":{"content":" cane"}}]}\n\n');

/** An agent without a target: it answers every attempt with `frames` chunks, one a turn. */
class StandInHandler implements DispatchHandler {
  readonly #load: LoadReport;

  #frames = 0;

  constructor(load: LoadReport) {
    this.#load = load;
  }

  setFrames(frames: number): void {
    this.#frames = frames;
  }

  getLoad(): LoadReport {
    return this.#load;
  }

  run(attempt: Attempt, send: (frame: AnswerFrame) => boolean, finish: () => void): () => void {
    void this.#answer(new AnswerWriter(attempt, attempt.incarnation, send, finish));
    return () => undefined;
  }

  async #answer(writer: AnswerWriter): Promise<void> {
    const frames = this.#frames;
    writer.accept(this.#load);
    writer.startAnswer(200, [], false);
    for (let frame = 0; frame < frames; frame += 1) {
      await waitTurn();
      writer.append(data, 1);
    }
    writer.end(this.#load);
  }
}

let nextRequest = 0;

function sendRequest(client: DispatchClient, load: LoadReport): Promise<void> {
  nextRequest += 1;
  const attempt = Attempt.parse({
    requestId: `7b0f3f5e-5c0e-4a57-9a57-${nextRequest}`,
    attempt: 1,
    service: 'canerota',
    target: load.target,
    incarnation: load.incarnation,
    workspace: 'estate-7',
    priority: 'normal',
    deadlineMs: 30_000,
    repeatable: true,
    idempotencyKey: '',
    keyTimeMs: 0,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: [],
    body: Buffer.alloc(4000, 'a'),
    resumeFrom: 0,
    promptTokens: 1000,
    maxTokens: 341,
    configRevision: 3500,
  });
  const assembler = new AnswerAssembler(attempt.requestId, 1, attempt.incarnation);
  return new Promise((resolve, reject) => {
    client.send(attempt, {
      onFrame: (frame) => {
        const event = assembler.handleFrame(frame);
        if (event?.type === 'complete') resolve();
      },
      onEnd: (reason) => reject(new Error(reason)),
    });
  });
}

/**
 * Measures requests and answer frames over a real connection in this process, so that each figure
 * holds the work of the entry's and of the agent's side together.
 */
export async function measurePath(): Promise<CapacitySlope[]> {
  const { reports } = createRouteFixture(new ManualClock(), 8);
  const load = reports[0]!;
  const handler = new StandInHandler(load);
  const running = await openServer('127.0.0.1:0');
  running.server.addService(dispatchService, createDispatchService(handler));
  const client = new DispatchClient(running.address);
  const runStreams = async (requests: number, frames: number): Promise<number> => {
    handler.setFrames(frames);
    const before = process.cpuUsage();
    for (let done = 0; done < requests; done += STREAMS) {
      const count = Math.min(STREAMS, requests - done);
      await Promise.all(Array.from({ length: count }, () => sendRequest(client, load)));
    }
    const used = process.cpuUsage(before);
    return used.user + used.system;
  };
  await runStreams(4 * STREAMS, 50);
  const slopes = [
    await measureSlope(
      { id: 'path.request', unit: 'us', per: 'request', kind: 'time' },
      [4 * STREAMS, 8 * STREAMS, 16 * STREAMS],
      (requests) => runStreams(requests, 0),
    ),
    await measureSlope(
      { id: 'path.frame', unit: 'us', per: 'answer frame', kind: 'time' },
      [50 * STREAMS, 100 * STREAMS, 200 * STREAMS],
      (frames) => runStreams(STREAMS, frames / STREAMS),
    ),
  ];
  client.close();
  running.close();
  return slopes;
}
