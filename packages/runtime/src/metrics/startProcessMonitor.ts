import { readdirSync } from 'node:fs';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { RealClock } from '../clock/RealClock.js';
import type { Log } from '../log/Log.js';
import { MemoryMonitor } from './MemoryMonitor.js';
import type { MetricRegistry } from './MetricRegistry.js';
import { getHeapLimit } from './getHeapLimit.js';
import { sampleMemory } from './sampleMemory.js';

interface ProcessMonitorOptions {
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Resident memory at which the deployment ends the process, bytes; null if it names none. */
  readonly memoryLimitBytes: number | null;
}

/** Interval of the samples of the memory; a heap may grow by a fifth of its limit in half a second. */
const SAMPLE_INTERVAL_MS = 250;

/** Resolution of the delay of the event loop; each measurement wakes the process. */
const DELAY_RESOLUTION_MS = 250;

const NANOSECONDS_PER_MS = 1_000_000;

const MS_PER_SECOND = 1000;

const MICROSECONDS_PER_SECOND = 1_000_000;

/** Prefix of the gauges that are part of the lines about memory. */
const USE_PREFIX = 'limpetbay_open_';

/**
 * Logs the memory of this process, and registers gauges for it, its limits, its descriptors and the
 * delay of its event loop. Gauges `limpetbay_open_...` are part of the lines.
 */
export function startProcessMonitor({
  log,
  metrics,
  memoryLimitBytes,
}: ProcessMonitorOptions): void {
  const heapLimitBytes = getHeapLimit();
  for (const kind of ['resident', 'heap', 'external', 'arrayBuffers'] as const) {
    const label = kind === 'arrayBuffers' ? 'array_buffers' : kind;
    metrics.register(`limpetbay_memory_bytes{kind="${label}"}`, () => sampleMemory()[kind]);
  }
  metrics.register('limpetbay_memory_limit_bytes{kind="heap"}', () => heapLimitBytes);
  if (memoryLimitBytes !== null) {
    metrics.register('limpetbay_memory_limit_bytes{kind="resident"}', () => memoryLimitBytes);
  }
  metrics.register('limpetbay_open_descriptors', countDescriptors);
  const startSeconds = Math.round(Date.now() / MS_PER_SECOND - process.uptime());
  metrics.register('limpetbay_start_time_seconds', () => startSeconds);
  metrics.register('limpetbay_processor_seconds_total', () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_SECOND;
  });
  const delay = monitorEventLoopDelay({ resolution: DELAY_RESOLUTION_MS });
  delay.enable();
  // The histogram counts the time between two measurements.
  const toDelayMs = (nanoseconds: number): number =>
    Math.max(0, Math.round(nanoseconds / NANOSECONDS_PER_MS) - DELAY_RESOLUTION_MS);
  for (const [label, percentile] of [
    ['0.5', 50],
    ['0.99', 99],
    ['1', 100],
  ] as const) {
    metrics.register(`limpetbay_event_loop_delay_ms{quantile="${label}"}`, () =>
      toDelayMs(delay.percentile(percentile)),
    );
  }
  const monitor = new MemoryMonitor({
    clock: new RealClock(),
    log,
    sample: sampleMemory,
    heapLimitBytes,
    memoryLimitBytes,
    listUses: () => metrics.readGauges(USE_PREFIX),
  });
  monitor.check();
  setInterval(() => monitor.check(), SAMPLE_INTERVAL_MS).unref();
}

/** Counts the open descriptors; 0 where the operating system does not list them. */
function countDescriptors(): number {
  try {
    // Reading the folder opens one of its own.
    return readdirSync('/proc/self/fd').length - 1;
  } catch {
    return 0;
  }
}
