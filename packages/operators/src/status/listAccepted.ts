import type { StatusView } from './StatusView.js';

interface AcceptedRevision {
  readonly name: string;
  readonly revision: number;
  /** Null where only the processes told the revision. */
  readonly zones: { readonly in: readonly string[]; readonly out: readonly string[] } | null;
}

/**
 * Lists the accepted revision of each service: from the store, or, while it does not answer, the
 * highest one that any process has in force.
 */
export function listAccepted(view: StatusView): AcceptedRevision[] {
  if (view.documents !== null) {
    return view.documents.map(({ name, revision, document }) => ({
      name,
      revision,
      zones: document?.zones ?? null,
    }));
  }
  const highest = new Map<string, { readonly revision: number; readonly deleted: boolean }>();
  for (const report of view.reports.values()) {
    for (const [name, known] of report?.revisions ?? []) {
      if (known.revision > (highest.get(name)?.revision ?? -1)) highest.set(name, known);
    }
  }
  const accepted: AcceptedRevision[] = [];
  for (const [name, { revision, deleted }] of highest) {
    if (!deleted) accepted.push({ name, revision, zones: null });
  }
  return accepted;
}
