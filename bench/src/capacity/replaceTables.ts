import type { CapacityTable } from './CapacityTable.js';
import { formatTable } from './formatTable.js';

/**
 * Puts tables into the page, each between its markers `<!-- table ID -->` and `<!-- end ID -->`.
 * Throws where a marker is missing.
 */
export function replaceTables(page: string, tables: readonly CapacityTable[]): string {
  let text = page;
  for (const table of tables) {
    const first = `<!-- table ${table.id} -->`;
    const last = `<!-- end ${table.id} -->`;
    const start = text.indexOf(first);
    const end = text.indexOf(last);
    if (start < 0 || end < start) throw new Error(`the page has no place for table ${table.id}`);
    const before = text.slice(0, start + first.length);
    text = `${before}\n\n${formatTable(table)}\n\n${text.slice(end)}`;
  }
  return text;
}
