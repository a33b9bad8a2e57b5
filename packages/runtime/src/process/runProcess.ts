import type { Log } from '../log/Log.js';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import { getHeapLimit } from '../metrics/getHeapLimit.js';
import { startProcessMonitor } from '../metrics/startProcessMonitor.js';
import type { SettingsReloader } from '../settings/SettingsReloader.js';
import { ProcessEnd } from './ProcessEnd.js';
import { ProcessSupervisor } from './ProcessSupervisor.js';
import type { ProgramInfo } from './ProgramInfo.js';
import type { SupervisedProcess } from './SupervisedProcess.js';

interface RunProcessOptions<Settings> {
  readonly program: ProgramInfo;
  /** Log of the process; its lines may use the reserve of the buffer. */
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Null for a program without a settings file. */
  readonly reloader: SettingsReloader<Settings> | null;
  /** @param signal aborts the start: a stop signal arrived during it */
  readonly start: (signal: AbortSignal) => Promise<SupervisedProcess<Settings>>;
}

/** Starts the program of this process under a `ProcessSupervisor`. */
export function runProcess<Settings>({
  program,
  start,
  ...options
}: RunProcessOptions<Settings>): Promise<void> {
  const { log, metrics } = options;
  const streams = [process.stdout, process.stderr];
  // A stream whose reader has gone fails with each line; the process does not depend on its log.
  for (const stream of streams) {
    stream.on('error', () => metrics.increase('limpetbay_log_write_errors_total'));
  }
  const end = new ProcessEnd({
    log,
    streams,
    events: process,
    exit: (status) => process.exit(status),
  });
  const supervisor = new ProcessSupervisor({
    ...options,
    events: process,
    exit: (status, cause) => end.finish(status, cause),
  });
  return supervisor.run((signal) => {
    log.report('process starting', {
      ...program,
      pid: process.pid,
      node: process.version,
      kind: `${process.platform}-${process.arch}`,
      heapLimitBytes: getHeapLimit(),
    });
    startProcessMonitor({ log, metrics, memoryLimitBytes: program.memoryLimitBytes });
    return start(signal);
  });
}
