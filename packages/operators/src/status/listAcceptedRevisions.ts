import type { StatusView } from './StatusView.js';

interface AcceptedRevision {
  readonly name: string;
  readonly revision: number;
  /** Zones of the document; null if it was deleted or if only reports of processes are available. */
  readonly zones: { readonly in: readonly string[]; readonly out: readonly string[] } | null;
}

/**
 * Lists the accepted revision of each service: the one in the store or, if the store does not answer,
 * the highest that is active in any process, without deleted services.
 */
export function listAcceptedRevisions(view: StatusView): AcceptedRevision[] {
  if (view.documents !== null) {
    return view.documents.map(({ name, revision, document }) => ({
      name,
      revision,
      zones: document?.zones ?? null,
    }));
  }
  const highest = new Map<string, { readonly revision: number; readonly deleted: boolean }>();
  for (const report of view.reports.values()) {
    for (const [name, reported] of report?.revisions ?? []) {
      if (reported.revision > (highest.get(name)?.revision ?? -1)) highest.set(name, reported);
    }
  }
  const accepted: AcceptedRevision[] = [];
  for (const [name, { revision, deleted }] of highest) {
    if (!deleted) accepted.push({ name, revision, zones: null });
  }
  return accepted;
}
