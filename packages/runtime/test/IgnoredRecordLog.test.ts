import { describe, expect, it } from 'vitest';
import { IgnoredRecordLog, MetricRegistry } from '../src/index.js';

// Guards against invalid records that nobody notices, and against logs that they fill.
describe('IgnoredRecordLog', () => {
  it('counts each record and limits the lines to one a second after a burst', () => {
    let nowMs = 0;
    const lines: unknown[] = [];
    const metrics = new MetricRegistry();
    const ignored = new IgnoredRecordLog({
      clock: { getNow: () => nowMs, getWallTime: () => new Date(nowMs) },
      log: { report: () => {}, warn: (...line) => lines.push(line), alert: () => {} },
      metrics,
      component: 'view',
    });
    ignored.report('target', 'servers/i-1', 'address: must be IP:PORT');
    expect(lines).toEqual([
      [
        'invalid record ignored',
        { record: 'target', key: 'servers/i-1', cause: 'address: must be IP:PORT' },
      ],
    ]);
    for (let count = 1; count < 500; count += 1) {
      ignored.report('target', 'servers/i-1', 'not JSON');
    }
    expect(lines).toHaveLength(20);
    nowMs = 1000;
    ignored.report('limit', 'limits/i-1@1', 'not JSON');
    expect(lines[20]).toEqual([
      'invalid record ignored',
      { record: 'limit', key: 'limits/i-1@1', cause: 'not JSON', suppressed: 480 },
    ]);
    expect(metrics.listCounters()).toEqual([
      ['limpetbay_records_ignored_total{component="view",record="target"}', 500],
      ['limpetbay_records_ignored_total{component="view",record="limit"}', 1],
    ]);
  });
});
