import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import type { z } from 'zod';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';
import { describeIssue } from './describeIssue.js';

/**
 * Reads an INI file and checks it against a schema of sections and keys.
 *
 * @param file path of the file
 * @param schema object of sections; values arrive as strings, so numbers need `z.coerce`
 * @returns the settings, or `invalid_setting` with file, section, key and allowed range
 */
export function readSettings<Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): Result<z.infer<Schema>, Failure> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return fail('invalid_setting', `${file}: cannot be read: ${(error as Error).message}`);
  }
  const checked = schema.safeParse(parse(text));
  if (checked.success) return Ok(checked.data);
  const lines = checked.error.issues.map((issue) => `${file}: ${describeIssue(issue, schema)}`);
  return fail('invalid_setting', lines.join('\n'));
}
