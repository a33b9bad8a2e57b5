import type { z } from 'zod';
import { describeAllowed } from '@limpetbay/core';

/** Describes where a setting is wrong: `[section] key: message; allowed: range`. */
export function describeIssue(issue: z.core.$ZodIssue, schema: z.ZodType): string {
  const [section = '', key] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    const place = section === '' ? 'unknown section' : `[${section}] unknown key`;
    return `${place} ${issue.keys.join(', ')}`;
  }
  if (key === undefined) return `[${section}]: ${issue.message}`;
  // The message of a pattern says itself what is allowed.
  const isPattern = issue.code === 'invalid_format';
  const range = isPattern ? '' : `; allowed: ${describeAllowed(schema, [section, key]).allowed}`;
  return `[${section}] ${key}: ${issue.message}${range}`;
}
