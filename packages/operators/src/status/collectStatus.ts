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

const ANSWER_LIMIT_MS = 2000;

async function fetchReports(
  instances: readonly InstanceRecord[],
  fetchReport: CollectOptions['fetchReport'],
): Promise<Map<string, RevisionReport | null>> {
  const reports = new Map<string, RevisionReport | null>();
  await runParallel(instances, async (instance) => {
    const answer = await fetchReport(instance.address, ANSWER_LIMIT_MS);
    reports.set(instance.id, answer.ok ? answer.val : null);
  });
  return reports;
}

/** Asks the store, the instance list and every instance; what does not answer is left open. */
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
  const [stored, list] = await Promise.all([readStore(), instanceList.fetchInstances()]);
  const instances = list.ok ? list.val : null;
  const reports = await fetchReports(instances ?? [], fetchReport);
  return {
    ...stored,
    takenAt: clock.getWallTime(),
    instances,
    listProblem: list.ok ? null : list.val.message,
    reports,
  };
}
