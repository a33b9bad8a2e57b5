import type { InstanceRecord } from '@limpetbay/core';
import type { RevisionReport } from '@limpetbay/rpc';
import type { StatusView } from './StatusView.js';
import { listAcceptedRevisions } from './listAcceptedRevisions.js';

/** `isolation_grace` of section 6 of the design page. */
const ISOLATION_GRACE_MS = 3000;

interface Problem {
  readonly summary: string;
  /** Effect on the service and what the operator should do. */
  readonly advice: string;
  /** The affected instances or documents, one per line. */
  readonly details: readonly string[];
}

function describeInstance(instance: InstanceRecord): string {
  return `${instance.id} (zone ${instance.zone}, ${instance.role}, ${instance.address})`;
}

function findPlatformProblems(view: StatusView): Problem[] {
  const problems: Problem[] = [];
  if ('problem' in view.store) {
    problems.push({
      summary: 'the store does not answer',
      advice:
        'service continues with the known documents; nothing can be accepted, no new keyed ' +
        'request is claimed; call the platform team',
      details: [view.store.problem],
    });
  }
  if (view.instances === null) {
    problems.push({
      summary: 'the instance list does not answer',
      advice: 'the instances cannot be asked from here; processes keep their last view',
      details: [view.listProblem ?? ''],
    });
  }
  if (view.instances?.length === 0) {
    problems.push({
      summary: 'the instance list is empty',
      advice: 'no process can be asked, so nothing is confirmed; check the address of the list',
      details: [],
    });
  }
  return problems;
}

function findOutdatedDocuments(view: StatusView, report: RevisionReport): string[] {
  const outdated: string[] = [];
  for (const { name, revision } of listAcceptedRevisions(view)) {
    const active = report.revisions.get(name)?.revision;
    if (active !== undefined && active >= revision) continue;
    outdated.push(`${name} at ${active ?? 'none'} instead of ${revision}`);
  }
  return outdated;
}

/** Lists documents of a process that a store restored from a copy has lost. */
function findLostDocuments({ documents }: StatusView, report: RevisionReport): string[] {
  if (documents === null) return [];
  const stored = new Map<string, number>();
  for (const { name, revision } of documents) stored.set(name, revision);
  const lost: string[] = [];
  for (const [name, { revision, deleted }] of report.revisions) {
    const storedRevision = stored.get(name) ?? 0;
    if (!deleted && revision > storedRevision) {
      lost.push(`${name} at ${revision}, in the store at ${storedRevision || 'none'}`);
    }
  }
  return lost;
}

function describeFreshness(report: RevisionReport): string {
  const { state, confirmationAgeMs, outsideContactAgeMs, zoneCount } = report;
  const confirmed =
    confirmationAgeMs === null ? 'never' : `${Math.round(confirmationAgeMs / 1000)} s ago`;
  const lacksOutsideContact =
    (outsideContactAgeMs ?? Infinity) >= ISOLATION_GRACE_MS && zoneCount > 1;
  return `${state}, confirmed ${confirmed}${lacksOutsideContact ? ', hears no other zone' : ''}`;
}

/** Lists the problems that an operator should act on, most important first. */
export function findProblems(view: StatusView): Problem[] {
  const problems = findPlatformProblems(view);
  const unresponsive: string[] = [];
  const notReady: string[] = [];
  const outdated: string[] = [];
  const unconfirmed: string[] = [];
  const lost: string[] = [];
  for (const instance of view.instances ?? []) {
    const report = view.reports.get(instance.id) ?? null;
    const label = describeInstance(instance);
    if (report === null) {
      unresponsive.push(label);
      continue;
    }
    const documents = findOutdatedDocuments(view, report);
    const lostDocuments = findLostDocuments(view, report);
    if (!report.ready) notReady.push(label);
    else if (lostDocuments.length > 0) lost.push(`${label}: ${lostDocuments.join('; ')}`);
    else if (documents.length > 0) outdated.push(`${label}: ${documents.join('; ')}`);
    else if (report.state !== 'fresh') unconfirmed.push(`${label}: ${describeFreshness(report)}`);
  }
  const addProblem = (details: string[], title: string, advice: string): void => {
    if (details.length === 0) return;
    const total = view.instances?.length ?? 0;
    problems.push({
      summary: `${title}: ${details.length} of ${total} instances`,
      advice,
      details,
    });
  };
  addProblem(
    unresponsive,
    'no answer',
    'dead, unreachable from here, or just replaced (the list lags); entries avoid them',
  );
  addProblem(notReady, 'no configuration', 'they refuse all work (not_ready)');
  addProblem(
    lost,
    'documents that the store has lost',
    'normal for a moment after an accept; longer means that the store was restored from a copy: ' +
      'they stay active; accept the wanted documents again',
  );
  addProblem(
    outdated,
    'older documents than accepted',
    'normal for 3 s after an accept; longer means that no relay of their zone reaches them',
  );
  addProblem(
    unconfirmed,
    'unconfirmed configuration',
    'expected in a store outage; otherwise check the network of their zone. An agent that also ' +
      'hears no other zone refuses work where the document says isolation = refuse',
  );
  return problems;
}
