import type { ServiceDocument } from '@limpetbay/core';
import { documentKeys } from './documentKeys.js';

/** Writes the ranks as the pattern that expands to them, where there is one. */
function describeRanks(ranks: readonly string[]): string {
  const [first = ''] = ranks;
  if (first.endsWith('0')) {
    const stem = first.slice(0, -1);
    if (ranks.every((target, rank) => target === `${stem}${rank}`)) return `${stem}*`;
  }
  return ranks.join(', ');
}

/** Converts a document to INI sections of text values, in the order in which they are printed. */
export function collectValues(document: ServiceDocument): Map<string, Map<string, string>> {
  const sections = new Map<string, Map<string, string>>();
  const add = (section: string, key: string, value: string): void => {
    const values = sections.get(section) ?? new Map<string, string>();
    values.set(key, value);
    sections.set(section, values);
  };
  const values = document as unknown as Record<string, Record<string, unknown>>;
  for (const { section, key, path } of documentKeys) {
    if (section === 'ramp' && !sections.has('ramp')) {
      for (const { name, ranks } of document.groups) {
        add(`group ${name}`, 'ranks', String(ranks.length));
        add(`group ${name}`, 'targets', describeRanks(ranks));
      }
    }
    const value = values[path[0]]?.[path[1]];
    add(section, key, Array.isArray(value) ? value.join(', ') : String(value));
  }
  for (const { method, pathPrefix, repeat } of document.routes) {
    add('routes', `${method} ${pathPrefix}`, repeat);
  }
  return sections;
}
