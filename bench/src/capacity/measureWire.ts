import { ManualClock, type AnswerFrame, type Incarnation, type RequestId } from '@limpetbay/core';
import { dispatchService, encodeFrame, encodeInstance, loadRelayService } from '@limpetbay/rpc';
import type { RelayMessages } from '@limpetbay/rpc';
import type { CapacitySlope } from './CapacitySlope.js';
import { createInstances } from './createInstances.js';
import { createRouteFixture } from './createRouteFixture.js';
import { measureSlope } from './measureSlope.js';

const requestId = '7b0f3f5e-5c0e-4a57-9a57-0d2b0c7f1a11' as RequestId;
const incarnation = 1_767_225_600_000_000 as Incarnation;
const COUNTS = [1, 10, 100];

function countBytes(part: AnswerFrame['part']): number {
  const frame = encodeFrame({ requestId, attempt: 1, incarnation, part });
  return dispatchService.Run!.responseSerialize(frame).byteLength;
}

/** What a process answers to an operator's command. */
function createReport(services: number): RelayMessages['RevisionReport'] {
  const revisions: RelayMessages['RevisionReport']['revisions'][number][] = [];
  for (let index = 0; index < services; index += 1) {
    revisions.push({
      name: `canerota-${index}`,
      revision: 3500 + index,
      deleted: false,
      inForceMs: 1000,
    });
  }
  const [record] = createInstances(1);
  return {
    self: encodeInstance({ record: record!, sequence: 1_767_225_600_000_000 }),
    revisions,
    state: 'fresh',
    ready: true,
    relay: false,
    followers: 0,
    zoneCount: 8,
    confirmationAgeMs: 120,
    outsideContactAgeMs: 80,
  };
}

/** Measures the bytes of the messages between entries and agents, without packet headers. */
export async function measureWire(): Promise<CapacitySlope[]> {
  const { reports } = createRouteFixture(new ManualClock(), 8);
  const load = reports[0]!;
  return [
    await measureSlope(
      { id: 'wire.load', unit: 'bytes', per: 'answer', kind: 'exact' },
      COUNTS,
      (count) => {
        // Load data is what a frame with a report has more than the same frame without one.
        const bare = { type: 'accepted' } as AnswerFrame['part'];
        const report = countBytes({ type: 'accepted', load }) - countBytes(bare);
        return count * 2 * report;
      },
    ),
    await measureSlope(
      { id: 'wire.progress', unit: 'bytes', per: 'progress frame', kind: 'exact' },
      COUNTS,
      (count) => count * countBytes({ type: 'progress' }),
    ),
    await measureSlope(
      { id: 'wire.chunk', unit: 'bytes', per: 'byte of an answer frame', kind: 'exact' },
      [16, 64, 120],
      (size) => countBytes({ type: 'chunk', sequence: 170, data: new Uint8Array(size), tokens: 1 }),
    ),
    await measureSlope(
      { id: 'wire.report', unit: 'bytes', per: 'service', kind: 'exact' },
      [4, 12, 20],
      (services) =>
        loadRelayService().service.Report!.responseSerialize(createReport(services)).byteLength,
    ),
    await measureSlope(
      { id: 'wire.probe', unit: 'bytes', per: 'probe', kind: 'exact' },
      COUNTS,
      (count) => count * dispatchService.GetLoad!.responseSerialize(load).byteLength,
    ),
  ];
}
