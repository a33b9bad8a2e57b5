import type { CapacityTable } from './CapacityTable.js';

/** Formats a table as Markdown. */
export function formatTable({ columns, rows }: CapacityTable): string {
  const lines = [`| ${columns.join(' | ')} |`, `| ${columns.map(() => '---').join(' | ')} |`];
  for (const row of rows) lines.push(`| ${row.join(' | ')} |`);
  return lines.join('\n');
}
