import type { diffDocuments } from './diffDocuments.js';

function showSide(value: string | null): string {
  if (value === null) return '(absent)';
  return value === '' ? '(empty)' : value;
}

/** Prints differences, one key a line: `[section] key: before -> after`. */
export function formatDifferences(differences: ReturnType<typeof diffDocuments>): string {
  const lines = differences.map(
    ({ section, key, before, after }) =>
      `  [${section}] ${key}: ${showSide(before)} -> ${showSide(after)}`,
  );
  return lines.join('\n');
}
