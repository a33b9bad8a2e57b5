import { readFileSync } from 'node:fs';
import { parse } from 'ini';
import type { z } from 'zod';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';
import { formatSettingIssue } from './formatSettingIssue.js';

/**
 * Reads a settings file in INI format and validates it against a schema.
 *
 * @param file path of the file
 * @param schema object of sections; INI values are strings, so numbers need `z.coerce`
 * @returns the settings, or `invalid_setting` with a line per issue: file, section, key and allowed range
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
  const parsed = schema.safeParse(parse(text));
  if (parsed.success) return Ok(parsed.data);
  const lines = parsed.error.issues.map((issue) => `${file}: ${formatSettingIssue(issue, schema)}`);
  return fail('invalid_setting', lines.join('\n'));
}
