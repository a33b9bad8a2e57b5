import { command, flag, option, optional, run, string } from 'cmd-ts';
import type { Clock, RandomSource } from '@limpetbay/core';
import { RealClock } from '../clock/RealClock.js';
import { SystemRandom } from '../clock/SystemRandom.js';
import { createLog } from '../log/createLog.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { LogSettings } from '../settings/LogSettings.js';
import type { SettingsFormat } from '../settings/SettingsFormat.js';
import { SettingsReloader } from '../settings/SettingsReloader.js';
import { readSettings } from '../settings/readSettings.js';
import { waitForSettings } from '../settings/waitForSettings.js';
import type { SupervisedProcess } from './SupervisedProcess.js';
import { ignoreOutputErrors } from './ignoreOutputErrors.js';
import { runProcess } from './runProcess.js';

const VERSION = '0.1.0';
/** Exit status for missing or invalid settings. */
const USAGE_EXIT_STATUS = 2;

/** Log until the settings of the log are known. */
const EARLY_LOG = { format: 'text', level: 'info' } as const;

interface DaemonOptions<Settings> {
  /** Name of the binary, printed in its usage text and errors. */
  readonly name: string;
  readonly description: string;
  readonly format: SettingsFormat<Settings>;
  readonly start: (
    settings: Settings,
    clock: Clock,
    random: RandomSource,
    metrics: MetricRegistry,
    signal: AbortSignal,
  ) => Promise<SupervisedProcess<Settings>>;
}

/**
 * Runs the command line of a daemon: reads the settings and starts it under a supervisor. Settings
 * that stay invalid for 2 s end it with exit status 2.
 */
export async function runDaemon<Settings extends { readonly log: LogSettings }>(
  options: DaemonOptions<Settings>,
): Promise<void> {
  const { name, description, format, start } = options;
  const cli = command({
    name,
    description,
    version: VERSION,
    args: {
      settings: option({
        type: optional(string),
        long: 'settings',
        description: 'path of the INI settings file',
      }),
      check: flag({ long: 'check', description: 'check the settings and exit' }),
    },
    handler: async ({ settings: file, check }) => {
      if (file === undefined) {
        process.stderr.write(`${name}: the option --settings FILE is required\n`);
        process.exit(USAGE_EXIT_STATUS);
      }
      ignoreOutputErrors();
      const loaded = check
        ? readSettings(file, format)
        : await waitForSettings(file, format, new RealClock(), createLog('process', EARLY_LOG));
      if (loaded.err) {
        process.stderr.write(`${loaded.val.message}\n`);
        process.exit(USAGE_EXIT_STATUS);
      }
      if (check) {
        process.stdout.write(`${file}: settings are valid\n`);
        return;
      }
      const initial = loaded.val;
      const log = createLog('process', initial.settings.log);
      const metrics = new MetricRegistry();
      await runProcess({
        log,
        metrics,
        reloader: new SettingsReloader({ file, format, initial, log, metrics }),
        start: (signal) =>
          start(initial.settings, new RealClock(), new SystemRandom(), metrics, signal),
      });
    },
  });
  await run(cli, process.argv.slice(2));
}
