import type { z } from 'zod';
import { describeAllowed } from '@limpetbay/core';

/** Formats a schema issue of a settings file as `[section] key: message; allowed: range`. */
export function formatSettingIssue(issue: z.core.$ZodIssue, schema: z.ZodType): string {
  const [section = '', key] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    const subject = section === '' ? 'unknown section' : `[${section}] unknown key`;
    return `${subject} ${issue.keys.join(', ')}`;
  }
  if (key === undefined) return `[${section}]: ${issue.message}`;
  // The message of a pattern already states the allowed format.
  const isPatternIssue = issue.code === 'invalid_format';
  const range = isPatternIssue
    ? ''
    : `; allowed: ${describeAllowed(schema, [section, key]).allowed}`;
  return `[${section}] ${key}: ${issue.message}${range}`;
}
