import type { ServiceDocument } from '@limpetbay/core';
import { collectValues } from './collectValues.js';

interface DocumentDifference {
  readonly section: string;
  readonly key: string;
  /** Null where the key is absent on that side. */
  readonly before: string | null;
  readonly after: string | null;
}

/** Lists the keys in which two documents differ; null stands for no document. */
export function diffDocuments(
  before: ServiceDocument | null,
  after: ServiceDocument | null,
): DocumentDifference[] {
  const left = before === null ? new Map<string, Map<string, string>>() : collectValues(before);
  const right = after === null ? new Map<string, Map<string, string>>() : collectValues(after);
  const differences: DocumentDifference[] = [];
  for (const section of new Set([...left.keys(), ...right.keys()])) {
    const keys = new Set([
      ...(left.get(section)?.keys() ?? []),
      ...(right.get(section)?.keys() ?? []),
    ]);
    for (const key of keys) {
      const old = left.get(section)?.get(key) ?? null;
      const next = right.get(section)?.get(key) ?? null;
      if (old !== next) differences.push({ section, key, before: old, after: next });
    }
  }
  return differences;
}
