import type { ServiceDocument } from '../document/ServiceDocument.js';

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
    const found = name.indexOf(part, position);
    if (found < 0 || found + part.length > end) return false;
    position = found + part.length;
  }
  return true;
}

/** Tells whether a document lists a target: included by name or pattern and not excluded. */
export function matchTarget(targets: ServiceDocument['targets'], name: string): boolean {
  for (const pattern of targets.exclude) {
    if (matchPattern(pattern, name)) return false;
  }
  for (const pattern of targets.include) {
    if (matchPattern(pattern, name)) return true;
  }
  return false;
}
