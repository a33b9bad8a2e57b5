import { command, flag, option, optional, string } from 'cmd-ts';
import type { Clock, RandomSource } from '@limpetbay/core';
import { RealClock } from '../clock/RealClock.js';
import { SystemRandom } from '../clock/SystemRandom.js';
import type { Log } from '../log/Log.js';
import { createLog } from '../log/createLog.js';
import { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { LogSettings } from '../settings/LogSettings.js';
import type { SettingsFormat } from '../settings/SettingsFormat.js';
import { SettingsReloader } from '../settings/SettingsReloader.js';
import { readSettings } from '../settings/readSettings.js';
import { waitForSettings } from '../settings/waitForSettings.js';
import type { SupervisedProcess } from './SupervisedProcess.js';
import { ignoreOutputErrors } from './ignoreOutputErrors.js';
import { refuseSettings } from './refuseSettings.js';
import { runCommandLine } from './runCommandLine.js';
import { runProcess } from './runProcess.js';

const VERSION = '0.1.0';

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
  const createProcessLog = (log: LogSettings): Log =>
    createLog('process', { ...log, mayUseReserve: true });
  // Without valid settings, the log has the format of their defaults.
  const createDefaultLog = (): Log => createProcessLog({ format: 'text', level: 'info' });
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
        await refuseSettings(
          `${name}: the option --settings FILE is required`,
          check ? null : createDefaultLog(),
        );
        return;
      }
      ignoreOutputErrors();
      const loaded = check
        ? readSettings(file, format)
        : await waitForSettings(file, format, new RealClock(), createDefaultLog());
      if (loaded.err) {
        await refuseSettings(loaded.val.message, check ? null : createDefaultLog());
        return;
      }
      if (check) {
        process.stdout.write(`${file}: settings are valid\n`);
        return;
      }
      const initial = loaded.val;
      const log = createProcessLog(initial.settings.log);
      const metrics = new MetricRegistry();
      await runProcess({
        program: { role: name, version: VERSION, settingsFile: file, memoryLimitBytes: null },
        log,
        metrics,
        reloader: new SettingsReloader({ file, format, initial, log, metrics }),
        start: (signal) =>
          start(initial.settings, new RealClock(), new SystemRandom(), metrics, signal),
      });
    },
  });
  await runCommandLine(cli, createDefaultLog);
}
