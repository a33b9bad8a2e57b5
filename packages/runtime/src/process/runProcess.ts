import type { Log } from '../log/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { SettingsReloader } from '../settings/SettingsReloader.js';
import { ProcessSupervisor } from './ProcessSupervisor.js';
import type { SupervisedProcess } from './SupervisedProcess.js';

interface RunProcessOptions<Settings> {
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Null for a program without a settings file. */
  readonly reloader: SettingsReloader<Settings> | null;
  /** @param signal aborts the start: a stop signal arrived during it */
  readonly start: (signal: AbortSignal) => Promise<SupervisedProcess<Settings>>;
}

/** Starts the program of this process under a `ProcessSupervisor`. */
export function runProcess<Settings>({
  start,
  ...options
}: RunProcessOptions<Settings>): Promise<void> {
  // A stream whose reader has gone fails with each line; the process does not depend on its log.
  for (const stream of [process.stdout, process.stderr]) {
    stream.on('error', () => options.metrics.increase('limpetbay_log_write_errors_total'));
  }
  const supervisor = new ProcessSupervisor({
    ...options,
    events: process,
    exit: (status) => process.exit(status),
  });
  return supervisor.run(start);
}
