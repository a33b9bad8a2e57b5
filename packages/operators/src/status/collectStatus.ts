import {
  decodeStoredDocument,
  servicePrefix,
  type Clock,
  type Failure,
  type InstanceList,
  type InstanceRecord,
  type Result,
  type Store,
  type VersionedDocument,
} from '@limpetbay/core';
import type { RevisionReport } from '@limpetbay/rpc';
import { runParallel } from '../parallel/runParallel.js';
import type { StatusView } from './StatusView.js';

interface CollectOptions {
  readonly store: Store;
  readonly instanceList: InstanceList;
  readonly clock: Clock;
  readonly fetchReport: (
    address: string,
    timeoutMs: number,
  ) => Promise<Result<RevisionReport, Failure>>;
}

const REPORT_TIMEOUT_MS = 2000;

async function fetchReports(
  instances: readonly InstanceRecord[],
  fetchReport: CollectOptions['fetchReport'],
): Promise<Map<string, RevisionReport | null>> {
  const reports = new Map<string, RevisionReport | null>();
  await runParallel(instances, async (instance) => {
    const answer = await fetchReport(instance.address, REPORT_TIMEOUT_MS);
    reports.set(instance.id, answer.ok ? answer.val : null);
  });
  return reports;
}

/**
 * Queries the store, the instance list and all instances. Sources that do not answer are null in the
 * view; stored documents that cannot be decoded are left out.
 */
export async function collectStatus(options: CollectOptions): Promise<StatusView> {
  const { store, instanceList, clock, fetchReport } = options;
  const startedAt = clock.getNow();
  const readStore = async (): Promise<Pick<StatusView, 'store' | 'documents'>> => {
    const read = await store.readPrefix(servicePrefix);
    if (read.err) return { store: { problem: read.val.message }, documents: null };
    const documents: VersionedDocument[] = [];
    for (const record of read.val.records) {
      const decoded = decodeStoredDocument(record);
      if (decoded.ok) documents.push(decoded.val);
    }
    return { store: { answerMs: clock.getNow() - startedAt }, documents };
  };
  const [stored, listResult] = await Promise.all([readStore(), instanceList.fetchInstances()]);
  const instances = listResult.ok ? listResult.val : null;
  const reports = await fetchReports(instances ?? [], fetchReport);
  return {
    ...stored,
    takenAt: clock.getWallTime(),
    instances,
    listProblem: listResult.ok ? null : listResult.val.message,
    reports,
  };
}
