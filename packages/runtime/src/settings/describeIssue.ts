import type { z } from 'zod';

/** Describes where a setting is wrong and what is allowed: `[section] key: message`. */
export function describeIssue(issue: z.core.$ZodIssue): string {
  const [section = '', key] = issue.path.map(String);
  if (issue.code === 'unrecognized_keys') {
    const place = section === '' ? 'unknown section' : `[${section}] unknown key`;
    return `${place} ${issue.keys.join(', ')}`;
  }
  return `[${section}]${key === undefined ? '' : ` ${key}`}: ${issue.message}`;
}
