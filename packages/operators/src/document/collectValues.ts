import type { ServiceDocument } from '@limpetbay/core';
import { documentKeys } from './documentKeys.js';

/** Formats ranks as a pattern if one expands to exactly these targets, otherwise as a list. */
function describeRanks(ranks: readonly string[]): string {
  const [first = ''] = ranks;
  if (first.endsWith('0')) {
    const prefix = first.slice(0, -1);
    if (ranks.every((target, rank) => target === `${prefix}${rank}`)) return `${prefix}*`;
  }
  return ranks.join(', ');
}

/** Converts a document to text values by INI section and key, in the order of the printed text. */
export function collectValues(document: ServiceDocument): Map<string, Map<string, string>> {
  const sections = new Map<string, Map<string, string>>();
  const addValue = (section: string, key: string, value: string): void => {
    const values = sections.get(section) ?? new Map<string, string>();
    values.set(key, value);
    sections.set(section, values);
  };
  const parts = document as unknown as Record<string, Record<string, unknown>>;
  for (const { section, key, path } of documentKeys) {
    if (section === 'ramp' && !sections.has('ramp')) {
      for (const { name, ranks } of document.groups) {
        addValue(`group ${name}`, 'ranks', String(ranks.length));
        addValue(`group ${name}`, 'targets', describeRanks(ranks));
      }
    }
    const value = parts[path[0]]?.[path[1]];
    addValue(section, key, Array.isArray(value) ? value.join(', ') : String(value));
  }
  for (const { method, pathPrefix, repeat } of document.routes) {
    addValue('routes', `${method} ${pathPrefix}`, repeat);
  }
  return sections;
}
