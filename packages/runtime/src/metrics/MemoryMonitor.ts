import type { Clock } from '@limpetbay/core';
import type { Log } from '../log/Log.js';
import type { MemorySample } from './MemorySample.js';

interface MemoryMonitorOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly sample: () => MemorySample;
  /** Heap size at which V8 ends the process, bytes. */
  readonly heapLimitBytes: number;
  /** Resident memory at which the deployment ends the process, bytes; null if it names none. */
  readonly memoryLimitBytes: number | null;
  /** Returns the counts that tell what uses the memory, by name. */
  readonly listUses: () => Readonly<Record<string, number>>;
}

/** Interval between two lines, milliseconds. */
const INTERVAL_MS = 5000;

/** The same while the memory is near a limit. */
const NEAR_LIMIT_INTERVAL_MS = 1000;

/** Share of a limit from which on the memory is near it. */
const NEAR_SHARE = 0.8;

/** Share of a limit below which it is no longer near; lower, so that few lines repeat. */
const FAR_SHARE = 0.7;

type LimitName = 'heap' | 'resident';

/**
 * Logs the memory of a process at an interval, and at once when it comes near a limit. The heap
 * limit and a limit of the deployment end a process without a log line of its own, so the last of
 * these lines tells the cause.
 */
export class MemoryMonitor {
  readonly #options: MemoryMonitorOptions;

  readonly #nearLimits = new Set<LimitName>();

  #lastLineMs = -Infinity;

  constructor(options: MemoryMonitorOptions) {
    this.#options = options;
  }

  /** Samples the memory; call it a few times a second. */
  check(): void {
    const { clock, log, heapLimitBytes, memoryLimitBytes } = this.#options;
    const sample = this.#options.sample();
    this.#checkLimit('heap', sample, heapLimitBytes);
    if (memoryLimitBytes !== null) this.#checkLimit('resident', sample, memoryLimitBytes);
    const intervalMs = this.#nearLimits.size > 0 ? NEAR_LIMIT_INTERVAL_MS : INTERVAL_MS;
    const nowMs = clock.getNow();
    if (nowMs - this.#lastLineMs < intervalMs) return;
    this.#lastLineMs = nowMs;
    log.report('memory used', this.#describe(sample));
  }

  #checkLimit(kind: LimitName, sample: MemorySample, limitBytes: number): void {
    const { clock, log } = this.#options;
    const share = sample[kind] / limitBytes;
    if (share < FAR_SHARE) {
      if (this.#nearLimits.delete(kind)) log.report('memory below its limit again', { kind });
      return;
    }
    if (share < NEAR_SHARE || this.#nearLimits.has(kind)) return;
    this.#nearLimits.add(kind);
    this.#lastLineMs = clock.getNow();
    log.warn('memory near its limit', {
      kind,
      percent: Math.round(share * 100),
      next: 'the process is ended at the limit',
      ...this.#describe(sample),
    });
  }

  #describe(sample: MemorySample): Record<string, unknown> {
    const { heapLimitBytes, memoryLimitBytes } = this.#options;
    return {
      residentBytes: sample.resident,
      memoryLimitBytes,
      heapBytes: sample.heap,
      heapLimitBytes,
      externalBytes: sample.external,
      arrayBufferBytes: sample.arrayBuffers,
      ...this.#options.listUses(),
    };
  }
}
