import type { InstanceRecord } from '@limpetbay/core';

interface EntryList {
  readonly entries: readonly {
    readonly url: string;
    readonly zone: string;
    readonly weight: number;
  }[];
  /** Milliseconds for which callers may keep this answer. */
  readonly ttl_ms: number;
}

/**
 * Lists the entries that callers should use.
 *
 * @param self this entry's record, whose own state is newer than the instance list
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
