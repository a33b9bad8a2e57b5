import { stringify } from 'ini';
import type { ServiceDocument } from '@limpetbay/core';
import { collectValues } from './collectValues.js';

/** Prints a document as INI text with every key, also those at their default. */
export function formatDocument(document: ServiceDocument): string {
  const sections: Record<string, Record<string, string>> = {};
  for (const [section, values] of collectValues(document)) {
    sections[section] = Object.fromEntries(values);
  }
  const text = stringify(sections, { whitespace: true });
  // The package escapes dots in section names, which `readSections` does not need.
  return text.replace(/^\[.*\]$/gm, (header) => header.replaceAll('\\.', '.'));
}
