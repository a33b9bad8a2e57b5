import type { diffDocuments } from './diffDocuments.js';

function formatValue(value: string | null): string {
  if (value === null) return '(absent)';
  return value === '' ? '(empty)' : value;
}

/** Formats differences, one key per line: `[section] key: before -> after`. */
export function formatDifferences(differences: ReturnType<typeof diffDocuments>): string {
  const lines = differences.map(
    ({ section, key, before, after }) =>
      `  [${section}] ${key}: ${formatValue(before)} -> ${formatValue(after)}`,
  );
  return lines.join('\n');
}
