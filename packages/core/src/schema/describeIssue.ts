import type { z } from 'zod';

const MAX_LENGTH = 200;

/** Describes the first issue of a schema as `path: message`, at most 200 characters. */
export function describeIssue({ issues }: z.ZodError): string {
  const [issue] = issues;
  if (issue === undefined) return 'does not match its schema';
  const path = issue.path.map(String).join('.');
  return (path === '' ? issue.message : `${path}: ${issue.message}`).slice(0, MAX_LENGTH);
}
