import type { ServiceDocument } from '../document/ServiceDocument.js';

/** Matches a name against a pattern in which `*` stands for any characters. */
function matchPattern(pattern: string, name: string): boolean {
  const parts = pattern.split('*');
  if (parts.length === 1) return pattern === name;
  const first = parts[0] ?? '';
  const last = parts[parts.length - 1] ?? '';
  if (name.length < first.length + last.length) return false;
  if (!name.startsWith(first) || !name.endsWith(last)) return false;
  let position = first.length;
  const end = name.length - last.length;
  for (const part of parts.slice(1, -1)) {
    const index = name.indexOf(part, position);
    if (index < 0 || index + part.length > end) return false;
    position = index + part.length;
  }
  return true;
}

/** Returns whether a document lists a target: included by name or pattern, and not excluded. */
export function matchTarget(targets: ServiceDocument['targets'], name: string): boolean {
  for (const pattern of targets.exclude) {
    if (matchPattern(pattern, name)) return false;
  }
  for (const pattern of targets.include) {
    if (matchPattern(pattern, name)) return true;
  }
  return false;
}
