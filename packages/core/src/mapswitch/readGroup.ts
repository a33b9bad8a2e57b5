import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import type { Epoch } from '../ids/Epoch.js';
import type { Revision } from '../ids/Revision.js';
import type { Store } from '../store/Store.js';
import type { MapRecord } from './MapRecord.js';
import { PlannerRecord } from './PlannerRecord.js';
import { formatGroupKey } from './formatGroupKey.js';
import { parseMapRecord } from './parseMapRecord.js';

interface GroupRecords {
  /** Null before the first planner wrote it. */
  readonly map: MapRecord | null;
  readonly mapRevision: Revision | 0;
  readonly planner: PlannerRecord | null;
  readonly plannerRevision: Revision | 0;
  /** Whether some planner holds the lease. */
  readonly isLeased: boolean;
  readonly epoch: Epoch;
}

/** Reads all records of a group in one call, so that they belong together. */
export async function readGroup(
  store: Store,
  group: string,
): Promise<Result<GroupRecords, Failure>> {
  const prefix = formatGroupKey(group, 'map').slice(0, -'map'.length);
  const read = await store.readPrefix(prefix);
  if (read.err) return read;
  const find = (part: Parameters<typeof formatGroupKey>[1]) =>
    read.val.records.find((record) => record.key === formatGroupKey(group, part));
  const map = find('map');
  const planner = find('planner');
  let record: MapRecord | null = null;
  if (map !== undefined) {
    const parsed = parseMapRecord(map.value);
    if (parsed.err) return parsed;
    record = parsed.val;
  }
  let holder: PlannerRecord | null = null;
  if (planner !== undefined) {
    try {
      holder = PlannerRecord.parse(JSON.parse(planner.value));
    } catch {
      return fail('internal', 'the planner record has another shape');
    }
  }
  return Ok({
    map: record,
    mapRevision: map?.revision ?? 0,
    planner: holder,
    plannerRevision: planner?.revision ?? 0,
    isLeased: find('planner-lease') !== undefined,
    epoch: holder?.epoch ?? (0 as Epoch),
  });
}
