import type { Log } from '../log/Log.js';
import { ProcessEnd } from './ProcessEnd.js';

/** Exit status for missing or invalid settings. */
const USAGE_EXIT_STATUS = 2;

/**
 * Ends a process that cannot start with its settings: the message goes to standard error, the last
 * line to its log.
 *
 * @param log null if only the settings were checked
 */
export async function refuseSettings(message: string, log: Log | null): Promise<void> {
  process.stderr.write(`${message}\n`);
  if (log === null) {
    process.exitCode = USAGE_EXIT_STATUS;
    return;
  }
  const end = new ProcessEnd({
    log,
    streams: [process.stdout, process.stderr],
    events: process,
    exit: (status) => process.exit(status),
  });
  await end.finish(USAGE_EXIT_STATUS, `invalid settings: ${message}`);
}
