import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import { parseJson } from '../schema/parseJson.js';
import { MapRecord } from './MapRecord.js';

/** Parses the stored value of a map record. Fails with `internal` if it is malformed. */
export function parseMapRecord(value: string): Result<MapRecord, Failure> {
  const json = parseJson(value);
  if (json.err) return fail('internal', 'the stored map record is not valid JSON');
  const parsed = MapRecord.safeParse(json.val);
  return parsed.success
    ? Ok(parsed.data)
    : fail('internal', 'the stored map record does not match its schema');
}
