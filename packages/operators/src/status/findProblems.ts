import type { InstanceRecord } from '@limpetbay/core';
import type { RevisionReport } from '@limpetbay/rpc';
import type { StatusView } from './StatusView.js';
import { listAccepted } from './listAccepted.js';

/** Section 6 of the design page: `isolation_grace`. */
const ISOLATION_GRACE_MS = 3000;

interface Problem {
  readonly summary: string;
  /** What it means for service, and what to do. */
  readonly advice: string;
  /** The instances or documents concerned, one a line. */
  readonly details: readonly string[];
}

function describeInstance(instance: InstanceRecord): string {
  return `${instance.id} (zone ${instance.zone}, ${instance.role}, ${instance.address})`;
}

function findSharedProblems(view: StatusView): Problem[] {
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

function findBehind(view: StatusView, report: RevisionReport): string[] {
  const behind: string[] = [];
  for (const { name, revision } of listAccepted(view)) {
    const known = report.revisions.get(name)?.revision;
    if (known !== undefined && known >= revision) continue;
    behind.push(`${name} at ${known ?? 'none'} instead of ${revision}`);
  }
  return behind;
}

function describeAge(report: RevisionReport): string {
  const { state, confirmationAgeMs, outsideContactAgeMs, zoneCount } = report;
  const confirmed =
    confirmationAgeMs === null ? 'never' : `${Math.round(confirmationAgeMs / 1000)} s ago`;
  const isAlone = (outsideContactAgeMs ?? Infinity) >= ISOLATION_GRACE_MS && zoneCount > 1;
  return `${state}, confirmed ${confirmed}${isAlone ? ', hears no other zone' : ''}`;
}

/** Finds what an operator should act on, most important first. */
export function findProblems(view: StatusView): Problem[] {
  const problems = findSharedProblems(view);
  const silent: string[] = [];
  const notReady: string[] = [];
  const behind: string[] = [];
  const old: string[] = [];
  for (const instance of view.instances ?? []) {
    const report = view.reports.get(instance.id) ?? null;
    const label = describeInstance(instance);
    if (report === null) {
      silent.push(label);
      continue;
    }
    const missing = findBehind(view, report);
    if (!report.ready) notReady.push(label);
    else if (missing.length > 0) behind.push(`${label}: ${missing.join('; ')}`);
    else if (report.state !== 'fresh') old.push(`${label}: ${describeAge(report)}`);
  }
  const add = (details: string[], what: string, advice: string): void => {
    if (details.length === 0) return;
    const total = view.instances?.length ?? 0;
    problems.push({ summary: `${what}: ${details.length} of ${total} instances`, advice, details });
  };
  add(
    silent,
    'no answer',
    'dead, unreachable from here, or just replaced (the list lags); entries avoid them',
  );
  add(notReady, 'no configuration', 'they refuse all work (not_ready)');
  add(
    behind,
    'older documents than accepted',
    'normal for 3 s after an accept; longer means that no relay of their zone reaches them',
  );
  add(
    old,
    'unconfirmed configuration',
    'expected in a store outage; otherwise check the network of their zone. An agent that also ' +
      'hears no other zone refuses work where the document says isolation = refuse',
  );
  return problems;
}
