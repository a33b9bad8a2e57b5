import { command, flag, option, optional, run, string } from 'cmd-ts';
import type { z } from 'zod';
import type { Clock, RandomSource } from '@limpetbay/core';
import { RealClock } from '../clock/RealClock.js';
import { SystemRandom } from '../clock/SystemRandom.js';
import { readSettings } from '../settings/readSettings.js';
import { onStopSignal } from './onStopSignal.js';
import type { RunningProcess } from './RunningProcess.js';

const VERSION = '0.1.0';
/** Exit status for missing or invalid settings. */
const USAGE_EXIT_STATUS = 2;

interface DaemonOptions<Schema extends z.ZodType> {
  /** Name of the binary, printed in its usage text and errors. */
  readonly name: string;
  readonly description: string;
  /** Schema of the settings file. */
  readonly schema: Schema;
  readonly start: (
    settings: z.infer<Schema>,
    clock: Clock,
    random: RandomSource,
  ) => Promise<RunningProcess>;
}

/** Runs the command line of a daemon: reads the settings, starts it and stops it on a signal. */
export async function runDaemon<Schema extends z.ZodType>(
  options: DaemonOptions<Schema>,
): Promise<void> {
  const cli = command({
    name: options.name,
    description: options.description,
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
        process.stderr.write(`${options.name}: the option --settings FILE is required\n`);
        process.exit(USAGE_EXIT_STATUS);
      }
      const settings = readSettings(file, options.schema);
      if (settings.err) {
        process.stderr.write(`${settings.val.message}\n`);
        process.exit(USAGE_EXIT_STATUS);
      }
      if (check) {
        process.stdout.write(`${file}: settings are valid\n`);
        return;
      }
      const daemon = await options.start(settings.val, new RealClock(), new SystemRandom());
      onStopSignal(() => daemon.stop());
    },
  });
  await run(cli, process.argv.slice(2));
}
