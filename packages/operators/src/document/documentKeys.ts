/** An INI key and the value of `ServiceDocument` that it sets. */
interface DocumentKey {
  readonly section: string;
  readonly key: string;
  /** Path of the value in `ServiceDocument`. */
  readonly path: readonly [string, string];
  readonly type: 'text' | 'number' | 'list';
}

/** Keys of the sections with fixed names, in the order in which a document is printed. */
export const documentKeys: readonly DocumentKey[] = [
  { section: 'service', key: 'name', path: ['service', 'name'], type: 'text' },
  { section: 'service', key: 'kind', path: ['service', 'kind'], type: 'text' },
  { section: 'service', key: 'isolation', path: ['service', 'isolation'], type: 'text' },
  { section: 'zones', key: 'in', path: ['zones', 'in'], type: 'list' },
  { section: 'zones', key: 'out', path: ['zones', 'out'], type: 'list' },
  { section: 'targets', key: 'include', path: ['targets', 'include'], type: 'list' },
  { section: 'targets', key: 'exclude', path: ['targets', 'exclude'], type: 'list' },
  { section: 'targets', key: 'fencing', path: ['targets', 'fencing'], type: 'text' },
  { section: 'ramp', key: 'start', path: ['ramp', 'start'], type: 'number' },
  { section: 'ramp', key: 'growth', path: ['ramp', 'growth'], type: 'number' },
  { section: 'ramp', key: 'interval_ms', path: ['ramp', 'intervalMs'], type: 'number' },
  { section: 'limits', key: 'max_in_flight', path: ['limits', 'maxInFlight'], type: 'number' },
  { section: 'limits', key: 'queue', path: ['limits', 'queue'], type: 'number' },
  { section: 'limits', key: 'deadline_ms', path: ['limits', 'deadlineMs'], type: 'number' },
  { section: 'limits', key: 'body_bytes', path: ['limits', 'bodyBytes'], type: 'number' },
  { section: 'keys', key: 'retention_hours', path: ['keys', 'retentionHours'], type: 'number' },
];
