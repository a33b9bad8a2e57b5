import { stringify } from 'ini';
import type { ServiceDocument } from '@limpetbay/core';
import { collectValues } from './collectValues.js';

/** Formats a document as INI text with all keys, including those with default values. */
export function formatDocument(document: ServiceDocument): string {
  const sections: Record<string, Record<string, string>> = {};
  for (const [section, values] of collectValues(document)) {
    sections[section] = Object.fromEntries(values);
  }
  const text = stringify(sections, { whitespace: true });
  // The `ini` package escapes dots in section names; `readSections` reads them unescaped.
  return text.replace(/^\[.*\]$/gm, (header) => header.replaceAll('\\.', '.'));
}
