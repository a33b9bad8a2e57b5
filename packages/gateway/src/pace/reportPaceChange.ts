import type { PaceChange } from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';

const SENTENCES = {
  begin: 'target paced',
  halve: 'pace of a target halved',
  end: 'target at full pace',
} as const;

/** Logs and counts a change of the pace of a target or group. */
export function reportPaceChange(
  log: Log,
  metrics: MetricRegistry,
  { kind, ...fields }: PaceChange,
): void {
  metrics.increase(`limpetbay_pace_changes_total{change="${kind}"}`);
  log.report(SENTENCES[kind], fields);
}
