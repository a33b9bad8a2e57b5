import type { Result } from 'ts-results';
import type { z } from 'zod';
import type { Failure } from '../errors/Failure.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import { describeIssue } from './describeIssue.js';
import { parseJson } from './parseJson.js';

/**
 * Decodes JSON text of another process or writer.
 *
 * @returns `invalid_document` if it is not JSON, is nested too deeply or does not match the schema
 */
export function decodeJson<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): Result<z.infer<Schema>, Failure> {
  const json = parseJson(text);
  if (json.err) return json;
  const parsed = schema.safeParse(json.val);
  return parsed.success ? Ok(parsed.data) : fail('invalid_document', describeIssue(parsed.error));
}
