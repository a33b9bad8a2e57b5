import type { ServiceDocument } from '@limpetbay/core';
import { collectValues } from './collectValues.js';

interface DocumentDifference {
  readonly section: string;
  readonly key: string;
  /** Value in the first document; null if the key is absent. */
  readonly before: string | null;
  /** Value in the second document; null if the key is absent. */
  readonly after: string | null;
}

/** Lists the keys whose values differ between two documents; null is a missing document. */
export function diffDocuments(
  before: ServiceDocument | null,
  after: ServiceDocument | null,
): DocumentDifference[] {
  const oldSections =
    before === null ? new Map<string, Map<string, string>>() : collectValues(before);
  const newSections =
    after === null ? new Map<string, Map<string, string>>() : collectValues(after);
  const differences: DocumentDifference[] = [];
  for (const section of new Set([...oldSections.keys(), ...newSections.keys()])) {
    const keys = new Set([
      ...(oldSections.get(section)?.keys() ?? []),
      ...(newSections.get(section)?.keys() ?? []),
    ]);
    for (const key of keys) {
      const old = oldSections.get(section)?.get(key) ?? null;
      const next = newSections.get(section)?.get(key) ?? null;
      if (old !== next) differences.push({ section, key, before: old, after: next });
    }
  }
  return differences;
}
