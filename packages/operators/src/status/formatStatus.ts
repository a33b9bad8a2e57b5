import type { StatusView } from './StatusView.js';
import { findProblems } from './findProblems.js';
import { listAcceptedRevisions } from './listAcceptedRevisions.js';

/** Maximum number of detail lines per problem. */
const MAX_DETAIL_LINES = 10;

function formatTable(rows: readonly (readonly string[])[]): string[] {
  const widths: number[] = [];
  for (const row of rows) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  return rows.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
}

function formatProblems(view: StatusView): string[] {
  const problems = findProblems(view);
  if (problems.length === 0) return ['OK: every instance answers with the accepted documents'];
  const lines = [`PROBLEMS: ${problems.length}`];
  for (const [index, { summary, advice, details }] of problems.entries()) {
    lines.push(`${index + 1}. ${summary}`, `   ${advice}`);
    for (const detail of details.slice(0, MAX_DETAIL_LINES)) lines.push(`   - ${detail}`);
    const omittedCount = details.length - MAX_DETAIL_LINES;
    if (omittedCount > 0) lines.push(`   - and ${omittedCount} more`);
  }
  return lines;
}

function formatServices(view: StatusView): string[] {
  const rows = [['SERVICE', 'REVISION', 'IN FORCE', 'ZONES IN', 'ZONES OUT']];
  const total = view.instances?.length ?? 0;
  for (const { name, revision, zones } of listAcceptedRevisions(view)) {
    let activeCount = 0;
    for (const report of view.reports.values()) {
      if ((report?.revisions.get(name)?.revision ?? -1) >= revision) activeCount += 1;
    }
    const zonesIn = zones === null ? '?' : zones.in.join(' ') || '-';
    const zonesOut = zones === null ? '?' : zones.out.join(' ') || '-';
    rows.push([name, String(revision), `${activeCount} of ${total}`, zonesIn, zonesOut]);
  }
  const lines = formatTable(rows);
  if (view.documents === null) lines.push('(highest revisions of the processes, not of the store)');
  return lines;
}

function formatZones(view: StatusView): string[] {
  const rows = [
    ['ZONE', 'ENTRIES', 'AGENTS', 'WATCHING', 'FRESH', 'STALE', 'CUT OFF', 'NO ANSWER', 'LEAVING'],
  ];
  const zones = [...new Set(view.instances?.map(({ zone }) => zone))].sort();
  for (const zone of zones) {
    const instances = view.instances?.filter((instance) => instance.zone === zone) ?? [];
    const count = (matches: (id: string) => boolean): string =>
      String(instances.filter(({ id }) => matches(id)).length);
    const countState = (state: string): string =>
      count((id) => view.reports.get(id)?.state === state);
    rows.push([
      zone,
      String(instances.filter(({ role }) => role === 'entry').length),
      String(instances.filter(({ role }) => role === 'agent').length),
      count((id) => view.reports.get(id)?.isRelay === true),
      countState('fresh'),
      countState('stale'),
      countState('cut_off'),
      count((id) => !view.reports.get(id)),
      count((id) => view.reports.get(id)?.self.record.state === 'leaving'),
    ]);
  }
  return formatTable(rows);
}

/** Formats a status for operators: verdict, problems with advice, then the tables. */
export function formatStatus(view: StatusView): string {
  const store =
    'problem' in view.store ? 'no answer' : `answers in ${Math.round(view.store.answerMs)} ms`;
  const list = view.instances === null ? 'no answer' : `${view.instances.length} instances`;
  const lines = [
    ...formatProblems(view),
    '',
    `at ${view.takenAt.toISOString()}; store: ${store}; instance list: ${list}`,
    '',
    ...formatServices(view),
    '',
    ...formatZones(view),
  ];
  return `${lines.join('\n')}\n`;
}
