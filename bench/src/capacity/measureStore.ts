import {
  buildClaimKey,
  hashRequest,
  type ClaimRecord,
  type Incarnation,
  type InstanceId,
  type ServiceName,
  type Workspace,
} from '@limpetbay/core';
import { measureClaimRate } from '../benches/claimRate/measureClaimRate.js';
import { SimulatedFleet } from '../benches/config/SimulatedFleet.js';
import type { CapacitySlope } from './CapacitySlope.js';
import { measureSlope } from './measureSlope.js';

const SEED = 1;
const ENTRIES = 24;
const AGENTS = 120;
const CLAIM_AGENTS = 20;
const WRITE_BUDGET = 200;

/** Bytes that one keyed request writes: the claim, and the outcome with a body of that size. */
function countClaimBytes(bodyBytes: number): number {
  const key = buildClaimKey('bookings' as ServiceName, 'estate-7' as Workspace, 'booking-1776');
  const common = {
    operationId: '7b0f3f5e-5c0e-4a57-9a57-0d2b0c7f1a11',
    bodyHash: hashRequest('POST', '/bookings', new Uint8Array(400)),
    attemptId: '7b0f3f5e-5c0e-4a57-9a57-0d2b0c7f1a11#1',
    owner: {
      instance: 'agent-2301' as InstanceId,
      incarnation: 1_767_225_600_000_000 as Incarnation,
    },
    claimedWallMs: 1_767_225_600_000,
  };
  const claim: ClaimRecord = { state: 'claimed', ...common, deadlineWallMs: 1_767_225_630_000 };
  const headers = [{ name: 'content-type', value: 'application/json' }];
  const body = Buffer.alloc(bodyBytes).toString('base64');
  const outcome: ClaimRecord = { state: 'stored', ...common, status: 201, headers, body };
  return 2 * key.length + JSON.stringify(claim).length + JSON.stringify(outcome).length;
}

/** Measures the lines of the store. */
export async function measureStore(): Promise<CapacitySlope[]> {
  const claims = new Map<number, Awaited<ReturnType<typeof measureClaimRate>>>();
  for (const requestsPerSecond of [25, 50, 100]) {
    const load = { seed: SEED, agents: CLAIM_AGENTS, requestsPerSecond, budget: WRITE_BUDGET };
    claims.set(requestsPerSecond, await measureClaimRate(load));
  }
  const watches = await measureSlope(
    { id: 'store.watches', unit: 'waiting watches', per: 'zone', kind: 'exact' },
    [2, 4, 8],
    (zones) => {
      const fleet = new SimulatedFleet({ seed: SEED, entries: ENTRIES, agents: AGENTS, zones });
      return fleet.store.countWatches();
    },
  );
  return [
    watches,
    await measureSlope(
      { id: 'store.claim-writes', unit: 'writes/s', per: 'keyed request/s', kind: 'exact' },
      [...claims.keys()],
      (rate) => claims.get(rate)!.writesPerSecond,
    ),
    await measureSlope(
      { id: 'store.claim-calls', unit: 'calls/s', per: 'keyed request/s', kind: 'exact' },
      [...claims.keys()],
      (rate) => claims.get(rate)!.callsPerRequest * rate,
    ),
    await measureSlope(
      { id: 'store.claim-bytes', unit: 'bytes', per: 'byte of an outcome', kind: 'exact' },
      [300, 3000, 30_000],
      countClaimBytes,
    ),
  ];
}
