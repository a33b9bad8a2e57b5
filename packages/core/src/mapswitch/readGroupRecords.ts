import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import type { Epoch } from '../ids/Epoch.js';
import type { Revision } from '../ids/Revision.js';
import { decodeJson } from '../schema/decodeJson.js';
import type { Store } from '../store/Store.js';
import type { MapRecord } from './MapRecord.js';
import { PlannerRecord } from './PlannerRecord.js';
import { formatGroupKey } from './formatGroupKey.js';
import { parseMapRecord } from './parseMapRecord.js';

interface GroupRecords {
  /** Null until the first planner writes it. */
  readonly map: MapRecord | null;
  readonly mapRevision: Revision | 0;
  readonly planner: PlannerRecord | null;
  readonly plannerRevision: Revision | 0;
  /** Whether any planner holds the lease. */
  readonly isLeaseHeld: boolean;
  /** Epoch of the planner record; 0 without one. */
  readonly epoch: Epoch;
}

/**
 * Reads all records of a group in one call, so that they are consistent. Fails with `internal` for
 * a malformed record, or with the error of the store.
 */
export async function readGroupRecords(
  store: Store,
  group: string,
): Promise<Result<GroupRecords, Failure>> {
  const prefix = formatGroupKey(group, 'map').slice(0, -'map'.length);
  const read = await store.readPrefix(prefix);
  if (read.err) return read;
  const findRecord = (part: Parameters<typeof formatGroupKey>[1]) =>
    read.val.records.find((record) => record.key === formatGroupKey(group, part));
  const mapEntry = findRecord('map');
  const plannerEntry = findRecord('planner');
  let mapRecord: MapRecord | null = null;
  if (mapEntry !== undefined) {
    const parsed = parseMapRecord(mapEntry.value);
    if (parsed.err) return parsed;
    mapRecord = parsed.val;
  }
  let plannerRecord: PlannerRecord | null = null;
  if (plannerEntry !== undefined) {
    const decoded = decodeJson(PlannerRecord, plannerEntry.value);
    if (decoded.err) return fail('internal', 'the stored planner record is not valid');
    plannerRecord = decoded.val;
  }
  return Ok({
    map: mapRecord,
    mapRevision: mapEntry?.revision ?? 0,
    planner: plannerRecord,
    plannerRevision: plannerEntry?.revision ?? 0,
    isLeaseHeld: findRecord('planner-lease') !== undefined,
    epoch: plannerRecord?.epoch ?? (0 as Epoch),
  });
}
