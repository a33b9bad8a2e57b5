import type { InstanceRecord } from '@limpetbay/core';

interface EntryList {
  readonly entries: readonly {
    readonly url: string;
    readonly zone: string;
    readonly weight: number;
  }[];
  /** Time for which callers may cache this answer, milliseconds. */
  readonly ttl_ms: number;
}

/**
 * Lists the entries that callers should use.
 *
 * @param self this entry's record; its state may be newer than in `instances`
 */
export function describeEntries(
  instances: readonly InstanceRecord[],
  self: InstanceRecord,
  ttlMs: number,
): EntryList {
  const entries: { url: string; zone: string; weight: number }[] = [];
  for (const instance of [self, ...instances]) {
    if (instance.role !== 'entry' || instance.state !== 'live') continue;
    if (instance !== self && instance.id === self.id) continue;
    if (instance.callerUrl === undefined) continue;
    entries.push({ url: instance.callerUrl, zone: instance.zone, weight: 1 });
  }
  return { entries, ttl_ms: ttlMs };
}
