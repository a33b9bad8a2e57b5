import '@limpetbay/runtime/ignoreEarlySignals';
import { command, flag, number, option, run } from 'cmd-ts';
import { MetricRegistry, createLog, runProcess } from '@limpetbay/runtime';
import { DevFleet } from './fleet/DevFleet.js';
import { defaultFleetOptions } from './fleet/defaultFleetOptions.js';

const VERSION = '0.1.0';

const cli = command({
  name: 'limpetbay-dev',
  description: 'run a complete deployment with simulated engines and platform in one process',
  version: VERSION,
  args: {
    port: option({
      type: number,
      long: 'port',
      defaultValue: () => 0,
      description: 'caller port of the first entry; 0 chooses a free port',
    }),
    quiet: flag({ long: 'quiet', description: 'turn off the log lines of agents and entries' }),
    check: flag({ long: 'check', description: 'check the arguments and exit' }),
  },
  handler: async ({ port, quiet, check }) => {
    if (!(Number.isInteger(port) && port >= 0 && port <= 65_535)) {
      process.stderr.write(`limpetbay-dev: --port ${port} is out of range; use 0 to 65535\n`);
      process.exit(2);
    }
    if (check) return;
    const logLevel = quiet ? 'silent' : 'info';
    const fleet = new DevFleet({ ...defaultFleetOptions, port, logLevel });
    await runProcess({
      program: {
        role: 'limpetbay-dev',
        version: VERSION,
        settingsFile: null,
        memoryLimitBytes: null,
      },
      log: createLog('process', { format: 'text', level: logLevel }),
      metrics: new MetricRegistry(),
      reloader: null,
      start: async (signal) => {
        await fleet.start(signal);
        return { stop: () => fleet.stop(), applySettings: () => {} };
      },
    });
    const { url } = [...fleet.entries.values()][0]!;
    process.stdout.write(
      [
        `store ${fleet.store.address}`,
        `instances ${fleet.instances.url}`,
        `ready ${url}`,
        '',
        'A streamed answer:',
        `curl -N ${url}/v1/chat/completions -H 'Content-Type: application/json' \\`,
        `  -H 'Limpetbay-Workspace: estate-1' \\`,
        `  -d '{"model":"canerota","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Who cuts where?"}]}'`,
        '',
        'A booking; sending it again returns the first outcome without a second run:',
        `curl -i ${url}/services/bookings/bookings -H 'Content-Type: application/json' \\`,
        `  -H 'Limpetbay-Workspace: estate-1' -H 'Idempotency-Key: gang-7' -d '{"id":"gang-7"}'`,
        '',
      ].join('\n'),
    );
  },
});

void run(cli, process.argv.slice(2));
